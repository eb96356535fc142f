/** What a process of hollow nodes tells of itself, and what it can be told to do. */
import { z } from 'zod';

/** Totals of one node since its first start. */
export interface NodeTotals {
  readonly index: number;
  readonly isRunning: boolean;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly sentMessages: number;
  readonly receivedMessages: number;
  /** Overlay links now. */
  readonly links: number;
}

/** A source version that came into force on a node. */
export interface Adoption {
  readonly index: number;
  readonly version: number;
  /** Milliseconds since 1970. */
  readonly at: number;
}

/** One sample of a process. */
export interface HollowSample {
  readonly nodes: readonly NodeTotals[];
  /** Processor time since the start, in milliseconds. */
  readonly cpuMs: number;
  readonly residentBytes: number;
  /** Live heap and buffers; after a full collection when one was asked for. */
  readonly liveBytes: number;
  /** Delay of the event loop since the sample before, in milliseconds. */
  readonly loopDelayP99Ms: number;
  readonly loopDelayMaxMs: number;
  /** Bytes sent by message type, of all nodes. */
  readonly sentBytesByType: Readonly<Record<string, number>>;
  /** Every other counter but those of messages by type, summed over the nodes. */
  readonly counters: Readonly<Record<string, number>>;
}

/** Commands that a process takes. */
export type HollowCommand = keyof typeof hollowCommands;

/** Gives the list of {@link Adoption}s since it was last asked for. */
export const ADOPTIONS_PATH = '/adoptions';
/** Gives a {@link HollowSample}. */
export const SAMPLE_PATH = '/sample';
/** The same, after a full collection of garbage. */
export const COLLECTED_SAMPLE_PATH = '/sample-after-collection';

const indices = z.array(z.number().int().min(0));

/** Commands, by their paths. */
export const hollowCommands = {
  /** Starts the machines that do not run. */
  start: z.strictObject({ indices }),
  /** Stops machines, planned or by death. */
  stop: z.strictObject({ indices, isPlanned: z.boolean() }),
  /** Cuts the network, or heals it. */
  cut: z.strictObject({
    cut: z
      .strictObject({
        by: z.enum(['zone', 'region']),
        name: z.string(),
        withPlatform: z.boolean(),
      })
      .nullable(),
  }),
} as const;
