/** `ferryspool release FINGERPRINT`: lets a request go under which endpoints ended. */
import { createAdminClient } from '../admin-client.js';
import { UsageError, type Command } from '../command.js';
import { ExitCode } from '../exit-code.js';
import { requireAtMost } from '../resource-path.js';
import { SUSPICIONS_PATH } from './suspicions.js';

const FINGERPRINT = /^[0-9a-f]{40}$/;

/** Lets the request go in the whole fleet; it counts anew from its next crash on. */
export const releaseCommand: Command = async (context) => {
  requireAtMost(context.parameters, 1);
  const [fingerprint = ''] = context.parameters;
  if (!FINGERPRINT.test(fingerprint)) {
    throw new UsageError('release: expected a fingerprint of 40 hexadecimal digits');
  }
  const path = `${SUSPICIONS_PATH}/${fingerprint}`;
  const answer = await createAdminClient(context).call({ method: 'DELETE', path });
  context.output.write(
    context.flags.json === true ? `${JSON.stringify(answer)}\n` : `${fingerprint} released\n`,
  );
  return ExitCode.Success;
};
