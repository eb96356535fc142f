/** What a run came to, in numbers. */
import jStat from 'jstat';
import type { LateAnswers } from '../../src/proxy/late-answers.js';
import { worthOf, type CallerOutcome } from './emulated-caller.js';

/** Numbers of one run by name; shares are from 0 to 1. */
export type Measures = Readonly<Record<string, number>>;

/** What is measured besides the outcomes. */
export interface RunTotals {
  readonly attempts: number;
  /** Answers of endpoints, and those among them that report a fault. */
  readonly answers: number;
  readonly faultAnswers: number;
  /** By the nodes' own count; those of calls are included. */
  readonly lateAnswers: LateAnswers;
  readonly linkBytes: number;
  /** See {@link EmulatedFleet.peakLimitUse}. */
  readonly peakLimitUse: number;
  /** See {@link EmulatedFleet.peakColdCount}. */
  readonly peakColdCount: number;
}

/** The measures of a run. */
export function measuresOf(outcomes: readonly CallerOutcome[], totals: RunTotals): Measures {
  const heldMs = outcomes.flatMap((outcome) => outcome.heldMs);
  const shareOf = (end: CallerOutcome['end']): number =>
    ratio(outcomes.filter((outcome) => outcome.end === end).length, outcomes.length);
  return {
    worth: earnedShare(outcomes),
    ...worthByClass(outcomes),
    inTime: ratio(outcomes.filter(isInTime).length, outcomes.length),
    refusals: ratio(sum(outcomes.map(refusalCount)), outcomes.length),
    faultAnswers: ratio(totals.faultAnswers, totals.answers),
    ...lateByPlace(totals.lateAnswers, outcomes.length),
    refused: shareOf('refused'),
    failed: shareOf('failed') + shareOf('none'),
    heldP50Ms: quantile(heldMs, 0.5),
    heldP99Ms: quantile(heldMs, 0.99),
    misreported: sum(outcomes.map(({ misreported }) => misreported)),
    attempts: ratio(totals.attempts, outcomes.length),
    linkBytes: ratio(totals.linkBytes, outcomes.length),
    peakLimitUse: totals.peakLimitUse,
    peakColdCount: totals.peakColdCount,
  };
}

/** Late answers that spent more time in the place than in any other, for each caller's request. */
function lateByPlace(lateAnswers: LateAnswers, requestCount: number): Measures {
  const counts = new Map<string, number>();
  for (const { place, count } of lateAnswers.totals()) {
    counts.set(`late.${place}`, (counts.get(`late.${place}`) ?? 0) + count);
  }
  return Object.fromEntries([...counts].map(([name, count]) => [name, ratio(count, requestCount)]));
}

export function isInTime({ requestClass, end, elapsedMs }: CallerOutcome): boolean {
  return end === 'answered' && elapsedMs <= requestClass.targetMs;
}

/** Tries of a request that were refused. */
function refusalCount({ tries, end }: CallerOutcome): number {
  return end === 'refused' ? tries : tries - 1;
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

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** 0 where nothing was measured. */
function quantile(values: readonly number[], share: number): number {
  return values.length === 0 ? 0 : jStat.percentile(values, share);
}

function ratio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}
