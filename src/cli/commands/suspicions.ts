/** `ferryspool suspicions`: requests under which endpoints ended, as one node knows them. */
import { readAnswer, suspicionsAnswerSchema } from '../admin-answer.js';
import { createAdminClient } from '../admin-client.js';
import type { Command } from '../command.js';
import { ExitCode } from '../exit-code.js';
import { requireAtMost } from '../resource-path.js';

const MS_PER_SECOND = 1_000;
export const SUSPICIONS_PATH = '/v1/suspicions';

/** Shows one line for each request, what is most suspected first. */
export const suspicionsCommand: Command = async (context) => {
  requireAtMost(context.parameters, 0);
  const answer = await createAdminClient(context).call({ method: 'GET', path: SUSPICIONS_PATH });
  const { items } = readAnswer(suspicionsAnswerSchema, answer);
  const lines = items.map(({ fingerprint, standing, ageMs, containedForMs, crashes, cleared }) =>
    [
      fingerprint,
      standing,
      `${crashes.length - cleared.length} crashes`,
      `newest ${Math.round(ageMs / MS_PER_SECOND)} s ago`,
      ...(containedForMs > 0 ? [`for ${Math.round(containedForMs / MS_PER_SECOND)} s more`] : []),
    ].join('  '),
  );
  const text = context.flags.json === true ? JSON.stringify(answer) : lines.join('\n');
  context.output.write(text === '' ? '' : `${text}\n`);
  return ExitCode.Success;
};
