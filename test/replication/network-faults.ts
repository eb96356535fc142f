/** Loss, duplicates and delays of messages in the emulated network. */

/** How unkind the network is. */
export interface NetworkFaults {
  readonly lossPercent: number;
  readonly duplicatePercent: number;
  readonly slowPercent: number;
  readonly maxDelayMs: number;
  readonly slowDelayMs: number;
}

export const CALM: NetworkFaults = {
  lossPercent: 0,
  duplicatePercent: 0,
  slowPercent: 0,
  maxDelayMs: 5,
  slowDelayMs: 5,
};
