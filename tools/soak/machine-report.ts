/** How the machine that a soak ran on treated its processes: a soak that got no core sees and does things late. Pure. */
import { CORE_LOOK_MS } from './core-watch.js';
import type { SoakRecord } from './soak-record.js';

const MS_PER_SECOND = 1_000;

/** The longest times in one line. */
export function describeMachine({ pauses, coreTimes }: SoakRecord): string {
  const longestMs = Math.max(0, ...pauses.map(({ fromMs, untilMs }) => untilMs - fromMs));
  const waits = coreTimes.map(({ waitedMs }) => waitedMs);
  const runs = coreTimes.map(({ ranMs }) => ranMs);
  return (
    `the soak itself stood still ${pauses.length} times, for ${Math.round(longestMs)} ms at most; ` +
    `of ${CORE_LOOK_MS} ms, nodes waited for a core for ${Math.round(Math.max(0, ...waits))} ms at most, ` +
    `and ran for ${Math.round(Math.max(0, ...runs))} ms at most`
  );
}

/** A line for each time in which the soak stood still or a node waited long for a core or only ran, in order. */
export function describeStarvation({ pauses, coreTimes }: SoakRecord): string[] {
  const own = pauses.map(({ fromMs, untilMs }) => ({
    fromMs,
    text: `the soak stood still for ${Math.round(untilMs - fromMs)} ms`,
  }));
  const nodes = coreTimes.map(({ machine, fromMs, untilMs, ranMs, waitedMs }) => {
    const [ran, waited, of] = [ranMs, waitedMs, untilMs - fromMs].map(Math.round);
    return { fromMs, text: `node ${machine} ran ${ran} ms and waited ${waited} ms of ${of} ms` };
  });
  return [...own, ...nodes]
    .sort((left, right) => left.fromMs - right.fromMs)
    .map(({ fromMs, text }) => `${(fromMs / MS_PER_SECOND).toFixed(2)} s: ${text}`);
}
