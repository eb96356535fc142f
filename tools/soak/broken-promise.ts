/** The promises that a soak checks, and how those that broke are told. Pure. */

/** The promises that are checked. */
export type SoakPromise =
  /** What may not be repeated runs at most once. */
  | 'at-most-once'
  /** What is told not to have run has not run, and never does. */
  | 'true-refusal'
  /** A success is the whole answer of a back end to this very request. */
  | 'own-whole-answer'
  /** A back end gets what a caller sent, unaltered, under the service of the caller's machine. */
  | 'unaltered'
  /** A request is sent to no more back ends than its route allows. */
  | 'attempt-limit'
  /** A back end is given no more time than the caller has left. */
  | 'deadline'
  /** A configuration is in force on a machine in touch within its bound. */
  | 'in-force'
  /** No node goes back to an older configuration within one life. */
  | 'never-back'
  /** No configuration that is not valid is in force anywhere. */
  | 'invalid-refused'
  /** Routes that were added later are served as the first ones are. */
  | 'added-served'
  /** A back end that leaves gets nothing new after its bound. */
  | 'drain'
  /** A back end that names a rate limit gets no more requests than that from machines that know it. */
  | 'rate-limit'
  /** A back end whose answers say that it leaves gets nothing more from a machine that passed one on. */
  | 'leaving'
  /** What a node had read gets a whole answer although it is told to stop. */
  | 'planned-stop'
  /** A planned stop ends by itself, in time and without an error. */
  | 'stop-in-time'
  /** No node tells its caller of an error of its own where an endpoint answered, or was at work. */
  | 'answer-delivered'
  /** What a node had read gets a whole answer although it reads its settings again. */
  | 'reload'
  /** Nodes end no requests that they have read, but for a few that cross a close. */
  | 'kept-connection'
  /** No node ends more of them beside a configuration than at other times. */
  | 'configuration'
  /** A request is answered at its route's time-out. */
  | 'time-out'
  /** A connection that went silent for good is given up by who uses it. */
  | 'silence-noticed'
  /** What a caller asked whose connection went silent is over at its time-out, and the connection is closed. */
  | 'caller-silence'
  /** A request that ends back ends is sent on no more once three have ended and all may know. */
  | 'contained'
  /** No other request is refused for having stood beside it. */
  | 'innocent'
  /** No back end gets a request half a second after its caller has left, but for a few. */
  | 'abandoned-not-sent'
  /** No back end goes on for half a second with what may be repeated once its caller has left, but for a quarter. */
  | 'abandoned-not-run'
  /** No program ends by itself. */
  | 'no-own-end'
  /** After the faults, requests are served again. */
  | 'recovery';

/** A promise that broke, with what showed it. */
export interface BrokenPromise {
  readonly promise: SoakPromise;
  readonly detail: string;
}

/** Promises about requests and configurations that were accepted and are lost. */
const LOSSES: ReadonlySet<SoakPromise> = new Set<SoakPromise>([
  'planned-stop',
  'reload',
  'configuration',
  'kept-connection',
  'answer-delivered',
]);

/** How often one promise broke, with what showed it. */
export interface PromiseSummary {
  readonly promise: SoakPromise;
  readonly isLoss: boolean;
  readonly details: readonly string[];
}

/** What broke by promise: losses first, then the most frequent. */
export function summarize(broken: readonly BrokenPromise[]): PromiseSummary[] {
  const details = new Map<SoakPromise, string[]>();
  for (const { promise, detail } of broken) {
    details.set(promise, [...(details.get(promise) ?? []), detail]);
  }
  return [...details]
    .map(([promise, found]) => ({ promise, isLoss: LOSSES.has(promise), details: found }))
    .sort(
      (left, right) =>
        Number(right.isLoss) - Number(left.isLoss) || right.details.length - left.details.length,
    );
}
