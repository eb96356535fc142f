/** The shape of a deployment that a soak takes on: how its callers ask, and what processor its nodes have. */
import { readFileSync } from 'node:fs';
import { parse } from 'yaml';
import { z } from 'zod';

const MOST_CONNECTIONS = 20;
const MOST_BEHIND = 16;
const MOST_ANSWER_BYTES = 4 * 1_024 * 1_024;
const MOST_CALLS = 4;
const MOST_TURN_MS = 1_000;

const share = z.number().min(0).max(1);

const soakShapeSchema = z.strictObject({
  /** Connections of callers at each machine on which reads come behind each other. */
  connections: z.int().min(1).max(MOST_CONNECTIONS),
  /** Reads that wait on one of them at most. */
  depth: z.int().min(1).max(MOST_BEHIND),
  /** Mean time between two bursts of reads on one of them. */
  restMs: z.number().positive(),
  /** Time that a caller gives to a read. */
  deadlineMs: z.int().positive(),
  /** Work of a back end on a read: log-normal, and now and then several times as long. */
  work: z.strictObject({
    medianMs: z.number().positive(),
    spread: z.number().min(0),
    mostMs: z.number().positive(),
    longShare: share,
    longFactor: z.number().min(1),
  }),
  /** Bodies of answers: log-normal, and now and then large; a share tells no length. */
  answer: z.strictObject({
    medianBytes: z.number().positive(),
    spread: z.number().min(0),
    mostBytes: z.int().positive().max(MOST_ANSWER_BYTES),
    largeShare: share,
    largeBytes: z.int().positive().max(MOST_ANSWER_BYTES),
    chunkedShare: share,
  }),
  /** Reads for which the back end makes calls through its own node, all together. */
  calls: z.strictObject({ share, times: z.int().min(1).max(MOST_CALLS) }),
  /** Callers that rest after each piece that they read, and go on sending meanwhile. */
  slowReaders: z.strictObject({ share, pauseMs: z.number().positive() }),
  /** Nodes that only run for a part of the time. */
  processor: z.strictObject({
    share,
    runMs: z.int().positive().max(MOST_TURN_MS),
    restMs: z.int().positive().max(MOST_TURN_MS),
  }),
});

/** The shape of a deployment. */
export type SoakShape = z.infer<typeof soakShapeSchema>;

/** Thrown for a file that is no shape; the message names each field. */
export class ShapeError extends Error {
  override readonly name = 'ShapeError';
  readonly code = 'BAD_SHAPE';
}

/** Reads a shape from a YAML file; throws {@link ShapeError} with the fields that are wrong. */
export function loadShape(path: string): SoakShape {
  return parseShape(readFileSync(path, 'utf8'), path);
}

/** Checks the text of a shape; `source` names it in errors. */
export function parseShape(text: string, source: string): SoakShape {
  const result = soakShapeSchema.safeParse(parse(text));
  if (!result.success) {
    throw new ShapeError(`${source}: ${z.prettifyError(result.error)}`);
  }
  return result.data;
}
