/** Turns write requests into writes, and what became of them into answers. */
import { z } from 'zod';
import {
  resourceSchema,
  type Resource,
  type ResourceKey,
  type ResourceKind,
} from '../model/resource.js';
import { ApiError } from './api-error.js';
import type { ResourceVersioner } from './resource-version.js';
import type { WriteOutcome, WritePort, WriteRequest } from './write-port.js';

/** The JSON body of an accepted write. */
export interface AcceptedBody {
  readonly verdict: 'ran';
  readonly kind: ResourceKind;
  readonly name: string;
  /** Version of what was written; absent for a deletion. */
  readonly version?: string;
  /** Revision of the operators' document that contains the write. */
  readonly operatorRevision: number;
}

const bodySchema = z.strictObject({
  kind: z.string().optional(),
  name: z.string().optional(),
  spec: z.unknown(),
});

/** The resource that a `PUT` of `kind` and `name` carries; throws {@link ApiError}. */
export function parseResourceBody(kind: ResourceKind, name: string, body: unknown): Resource {
  const outer = bodySchema.safeParse(body);
  if (!outer.success) {
    throw invalidResource(outer.error);
  }
  if ((outer.data.kind ?? kind) !== kind || (outer.data.name ?? name) !== name) {
    throw new ApiError('MALFORMED_REQUEST', 'body: kind and name differ from the path');
  }
  const parsed = resourceSchema.safeParse({ kind, name, spec: outer.data.spec });
  if (!parsed.success) {
    throw invalidResource(parsed.error);
  }
  return parsed.data;
}

function invalidResource(error: z.ZodError): ApiError {
  const faults = error.issues.map((issue) => ({
    path: issue.path.join('.'),
    reason: issue.message,
  }));
  return new ApiError('INVALID_RESOURCE', 'the resource is not valid', { faults });
}

/** Hands writes to a port and gives up waiting after a time. */
export class ResourceWriter {
  constructor(
    private readonly port: WritePort,
    private readonly versionOf: ResourceVersioner,
    /** Time that a write may wait for acceptance, in milliseconds. */
    private readonly timeoutMs: number,
  ) {}

  /** The answer to an accepted write; rejects with {@link ApiError} that carries a verdict. */
  async write(request: WriteRequest): Promise<AcceptedBody> {
    const outcome = await this.outcomeInTime(request);
    if (outcome.outcome !== 'accepted') {
      throw failureOf(outcome);
    }
    const { resource } = request;
    const [kind, name] = splitKey(request.key);
    return {
      verdict: 'ran',
      kind,
      name,
      ...(resource === undefined ? {} : { version: this.versionOf(resource) }),
      operatorRevision: outcome.operatorRevision,
    };
  }

  private async outcomeInTime(request: WriteRequest): Promise<WriteOutcome> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<WriteOutcome>((resolve) => {
      timer = setTimeout(() => {
        resolve({ outcome: 'unknown', reason: `no decision within ${this.timeoutMs} ms` });
      }, this.timeoutMs);
    });
    try {
      return await Promise.race([this.port.submitWrite(request), late]);
    } catch {
      return { outcome: 'unknown', reason: 'the write failed on its way' };
    } finally {
      clearTimeout(timer);
    }
  }
}

function splitKey(key: ResourceKey): [ResourceKind, string] {
  const separator = key.indexOf('/');
  return [key.slice(0, separator) as ResourceKind, key.slice(separator + 1)];
}

function failureOf(outcome: Exclude<WriteOutcome, { outcome: 'accepted' }>): ApiError {
  switch (outcome.outcome) {
    case 'conflict': {
      const { currentVersion } = outcome;
      return new ApiError(
        'PRECONDITION_FAILED',
        currentVersion === undefined ? 'there is no such resource' : 'it is at another version',
        { verdict: 'not-run', ...(currentVersion === undefined ? {} : { currentVersion }) },
      );
    }
    case 'invalid': {
      const { faults } = outcome;
      return new ApiError('INVALID_RESOURCE', 'the configuration would not be valid', {
        verdict: 'not-run',
        faults,
      });
    }
    case 'refused': {
      const { reason, retryAfterMs } = outcome;
      return new ApiError('NOT_ACCEPTED', `not accepted: ${reason}`, {
        verdict: 'not-run',
        retryAfterMs,
      });
    }
    case 'unknown':
      return new ApiError('MAY_BE_ACCEPTED', `may have been accepted: ${outcome.reason}`, {
        verdict: 'may-have-run',
      });
  }
}
