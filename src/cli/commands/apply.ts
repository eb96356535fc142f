/** `ferryspool apply FILE`: writes resources through the resource API, one after the other. */
import { z } from 'zod';
import {
  RESOURCE_KINDS,
  resourceKey,
  resourceSchema,
  type Resource,
} from '../../model/resource.js';
import { readDocument } from '../../settings/read-document.js';
import { SettingsError } from '../../settings/settings-error.js';
import { readAccepted } from '../admin-answer.js';
import { createAdminClient, type AdminClient } from '../admin-client.js';
import { MAX_INPUT_FILE_BYTES, UsageError, type Command, type CommandContext } from '../command.js';
import { ExitCode } from '../exit-code.js';
import { requireAtMost, resourcePath } from '../resource-path.js';
import { absentPrecondition, presentPrecondition, statedPrecondition } from '../write-flags.js';

const fileSchema = z.union([
  z.object({ resources: z.array(z.unknown()) }).transform(({ resources }) => resources),
  z.array(z.unknown()),
  z.unknown().transform((one) => [one]),
]);

/**
 * Writes every resource of the file, what others refer to first. Stops at the first that is not
 * accepted; what was accepted before stays.
 */
export const applyCommand: Command = async (context) => {
  const [file] = context.parameters;
  requireAtMost(context.parameters, 1);
  if (file === undefined) {
    throw new UsageError('apply: expected a file');
  }
  const resources = readResources(file);
  const client = createAdminClient(context);
  if (statedPrecondition(context.flags) !== undefined && resources.length !== 1) {
    throw new UsageError('--if-match and --create: expected a file with one resource');
  }
  for (const [index, resource] of resources.entries()) {
    try {
      await writeResource(context, client, resource);
    } catch (error) {
      reportRest(context, resources.slice(index));
      throw error;
    }
  }
  return ExitCode.Success;
};

function readResources(file: string): Resource[] {
  const values = fileSchema.parse(readDocument(file, MAX_INPUT_FILE_BYTES));
  const resources = values.map((value, index) => readResource(file, value, index));
  const order = (resource: Resource): number => RESOURCE_KINDS.indexOf(resource.kind);
  return resources.sort((left, right) => order(left) - order(right));
}

function readResource(file: string, value: unknown, index: number): Resource {
  const parsed = resourceSchema.safeParse(value);
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => ({
      path: ['resources', index, ...issue.path].map(String).join('.'),
      expected: issue.message,
    }));
    throw new SettingsError(file, faults);
  }
  return parsed.data;
}

async function writeResource(
  { flags, output }: CommandContext,
  client: AdminClient,
  resource: Resource,
): Promise<void> {
  const { kind, name, spec } = resource;
  const path = resourcePath(kind, name);
  const headers =
    statedPrecondition(flags) ?? (await presentPrecondition(client, path)) ?? absentPrecondition();
  const answer = await client.call({ method: 'PUT', path, headers, body: { spec } });
  const accepted = readAccepted(answer);
  output.write(
    flags.json === true
      ? `${JSON.stringify(answer)}\n`
      : `${kind}/${name} accepted at revision ${accepted.operatorRevision}\n`,
  );
}

function reportRest({ errors }: CommandContext, rest: readonly Resource[]): void {
  const [failed, ...unsent] = rest.map(resourceKey);
  errors.write(
    `${failed ?? ''} failed; not sent: ${unsent.length === 0 ? 'none' : unsent.join(' ')}\n`,
  );
}
