/** Which version a write command expects. */
import { readAnswer, resourceAnswerSchema } from './admin-answer.js';
import type { AdminClient } from './admin-client.js';
import { AdminAnswerError } from './admin-error.js';
import { UsageError, type CommandFlags } from './command.js';

/** A precondition header. */
export type PreconditionHeader = Readonly<Record<string, string>>;

const CREATE: PreconditionHeader = { 'if-none-match': '*' };

/** The precondition that flags state; undefined when they leave it to the present version. */
export function statedPrecondition(flags: CommandFlags): PreconditionHeader | undefined {
  if (flags.ifMatch !== undefined && flags.create === true) {
    throw new UsageError('expected --if-match or --create, not both');
  }
  if (flags.create === true) {
    return CREATE;
  }
  return flags.ifMatch === undefined ? undefined : ifMatch(flags.ifMatch);
}

/** The precondition that nothing changed since now; undefined when there is no such resource. */
export async function presentPrecondition(
  client: AdminClient,
  path: string,
): Promise<PreconditionHeader | undefined> {
  try {
    const answer = await client.call({ method: 'GET', path });
    return ifMatch(readAnswer(resourceAnswerSchema, answer).version);
  } catch (error) {
    if (error instanceof AdminAnswerError && error.code === 'NOT_FOUND') {
      return undefined;
    }
    throw error;
  }
}

/** The precondition that there is no such resource. */
export function absentPrecondition(): PreconditionHeader {
  return CREATE;
}

function ifMatch(version: string): PreconditionHeader {
  return { 'if-match': version === '*' ? '*' : `"${version}"` };
}
