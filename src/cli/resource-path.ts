/** Paths of resources, from what an operator types. */
import { KIND_PATHS } from '../api/api-request.js';
import { nameSchema } from '../model/resource.js';
import { UsageError } from './command.js';

/** The collection path of a kind, given as `service` or `services`; throws {@link UsageError}. */
export function collectionPath(text: string | undefined): string {
  for (const [path, kind] of Object.entries(KIND_PATHS)) {
    if (text === path || text === kind) {
      return `/v1/${path}`;
    }
  }
  const given = text === undefined ? 'no kind' : `unknown kind ${JSON.stringify(text)}`;
  throw new UsageError(`${given}: expected one of ${Object.keys(KIND_PATHS).join(', ')}`);
}

/** The path of one resource; throws {@link UsageError}. */
export function resourcePath(kind: string | undefined, name: string | undefined): string {
  const collection = collectionPath(kind);
  if (name === undefined || !nameSchema.safeParse(name).success) {
    const given = name === undefined ? 'no name' : `name ${JSON.stringify(name)}`;
    throw new UsageError(`${given}: expected lower-case letters, digits, ".", "_", "-"`);
  }
  return `${collection}/${name}`;
}

/** Throws {@link UsageError} when there are more than `count` parameters. */
export function requireAtMost(parameters: readonly string[], count: number): void {
  const extra = parameters[count];
  if (extra !== undefined) {
    throw new UsageError(`unexpected argument ${JSON.stringify(extra)}`);
  }
}
