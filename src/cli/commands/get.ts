/** `ferryspool get KIND [NAME]`: shows resources. Values of secrets are never shown. */
import { stringify } from 'yaml';
import { listAnswerSchema, readAnswer, resourceAnswerSchema } from '../admin-answer.js';
import { createAdminClient } from '../admin-client.js';
import type { Command, CommandContext } from '../command.js';
import { ExitCode } from '../exit-code.js';
import { collectionPath, requireAtMost, resourcePath } from '../resource-path.js';

/** Lists a kind, or shows one resource. */
export const getCommand: Command = async (context) => {
  const [kind, name] = context.parameters;
  requireAtMost(context.parameters, 2);
  const path = name === undefined ? collectionPath(kind) : resourcePath(kind, name);
  const answer = await createAdminClient(context).call({ method: 'GET', path });
  context.output.write(
    context.flags.json === true ? `${JSON.stringify(answer)}\n` : textOf(context, answer),
  );
  return ExitCode.Success;
};

function textOf({ parameters }: CommandContext, answer: unknown): string {
  if (parameters.length === 2) {
    return stringify(readAnswer(resourceAnswerSchema, answer));
  }
  const { cursor, items } = readAnswer(listAnswerSchema, answer);
  const lines = items.map(
    ({ name, version, spec }) => `${name} ${version} ${JSON.stringify(spec)}`,
  );
  return [`# cursor ${cursor}`, ...lines, ''].join('\n');
}
