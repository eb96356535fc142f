/** What a run came to, in numbers. */
import jStat from 'jstat';
import { worthOf, type CallerOutcome } from './emulated-caller.js';

/** Numbers of one run by name; shares are from 0 to 1. */
export type Measures = Readonly<Record<string, number>>;

/** What is measured besides the outcomes. */
export interface RunTotals {
  readonly attempts: number;
  readonly linkBytes: number;
  /** See {@link EmulatedFleet.peakLimitUse}. */
  readonly peakLimitUse: number;
}

/** The measures of a run. */
export function measuresOf(outcomes: readonly CallerOutcome[], totals: RunTotals): Measures {
  const heldMs = outcomes.flatMap((outcome) => outcome.heldMs);
  const shareOf = (end: CallerOutcome['end']): number =>
    ratio(outcomes.filter((outcome) => outcome.end === end).length, outcomes.length);
  return {
    worth: earnedShare(outcomes),
    ...worthByClass(outcomes),
    refused: shareOf('refused'),
    failed: shareOf('failed') + shareOf('none'),
    heldP50Ms: quantile(heldMs, 0.5),
    heldP99Ms: quantile(heldMs, 0.99),
    misreported: outcomes.reduce((sum, { misreported }) => sum + misreported, 0),
    attempts: ratio(totals.attempts, outcomes.length),
    linkBytes: ratio(totals.linkBytes, outcomes.length),
    peakLimitUse: totals.peakLimitUse,
  };
}

function worthByClass(outcomes: readonly CallerOutcome[]): Measures {
  const names = [...new Set(outcomes.map(({ requestClass }) => requestClass.name))].sort();
  return Object.fromEntries(
    names.map((name) => {
      const ofClass = outcomes.filter(({ requestClass }) => requestClass.name === name);
      return [`worth.${name}`, earnedShare(ofClass)];
    }),
  );
}

/** Share earned of what all answers in time would be worth. */
function earnedShare(outcomes: readonly CallerOutcome[]): number {
  const earned = outcomes.reduce((sum, outcome) => sum + worthOf(outcome), 0);
  const possible = outcomes.reduce((sum, { requestClass }) => sum + requestClass.worth, 0);
  return ratio(earned, possible);
}

/** 0 where nothing was measured. */
function quantile(values: readonly number[], share: number): number {
  return values.length === 0 ? 0 : jStat.percentile(values, share);
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}
