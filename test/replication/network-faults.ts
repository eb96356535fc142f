/** Loss, duplicates and delays of messages in the emulated network. */

/** Fault rates and delays of the network. */
export interface NetworkFaults {
  readonly lossPercent: number;
  readonly duplicatePercent: number;
  readonly slowPercent: number;
  readonly maxDelayMs: number;
  readonly slowDelayMs: number;
}

export const NO_FAULTS: NetworkFaults = {
  lossPercent: 0,
  duplicatePercent: 0,
  slowPercent: 0,
  maxDelayMs: 5,
  slowDelayMs: 5,
};
