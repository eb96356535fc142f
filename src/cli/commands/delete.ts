/** `ferryspool delete KIND NAME`: deletes a resource through the resource API. */
import { readAccepted } from '../admin-answer.js';
import { createAdminClient } from '../admin-client.js';
import { AdminAnswerError } from '../admin-error.js';
import { UsageError, type Command } from '../command.js';
import { ExitCode } from '../exit-code.js';
import { requireAtMost, resourcePath } from '../resource-path.js';
import { presentPrecondition, statedPrecondition } from '../write-flags.js';

/** Deletes the resource at the version that it has now, or at `--if-match`. */
export const deleteCommand: Command = async (context) => {
  const [kind, name] = context.parameters;
  requireAtMost(context.parameters, 2);
  if (context.flags.create === true) {
    throw new UsageError('delete: expected no --create');
  }
  const path = resourcePath(kind, name);
  const client = createAdminClient(context);
  const headers = statedPrecondition(context.flags) ?? (await presentPrecondition(client, path));
  if (headers === undefined) {
    throw new AdminAnswerError({ code: 'NOT_FOUND', message: `no such resource: ${path}` });
  }
  const answer = await client.call({ method: 'DELETE', path, headers });
  const accepted = readAccepted(answer);
  context.output.write(
    context.flags.json === true
      ? `${JSON.stringify(answer)}\n`
      : `${accepted.kind}/${accepted.name} deleted at revision ${accepted.operatorRevision}\n`,
  );
  return ExitCode.Success;
};
