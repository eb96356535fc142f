/** Submits write requests and converts their outcomes to API responses. */
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
  /** Version of the written resource; absent for a deletion. */
  readonly version?: string;
  /** Revision of the operators' document that contains the write. */
  readonly operatorRevision: number;
}

const bodySchema = z.strictObject({
  kind: z.string().optional(),
  name: z.string().optional(),
  spec: z.unknown(),
});

/** Parses the resource in the body of a `PUT` of `kind` and `name`; throws {@link ApiError}. */
export function parseResourceBody(kind: ResourceKind, name: string, body: unknown): Resource {
  const envelope = bodySchema.safeParse(body);
  if (!envelope.success) {
    throw invalidResource(envelope.error);
  }
  if ((envelope.data.kind ?? kind) !== kind || (envelope.data.name ?? name) !== name) {
    throw new ApiError('MALFORMED_REQUEST', 'body: kind and name differ from the path');
  }
  const parsed = resourceSchema.safeParse({ kind, name, spec: envelope.data.spec });
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

/** Submits writes to a port and waits for their outcomes up to a timeout. */
export class ResourceWriter {
  constructor(
    private readonly port: WritePort,
    private readonly versionOf: ResourceVersioner,
    /** Time that a write may wait for acceptance, in milliseconds. */
    private readonly timeoutMs: number,
  ) {}

  /** Returns the body for an accepted write; rejects with an {@link ApiError} that carries a verdict. */
  async write(request: WriteRequest): Promise<AcceptedBody> {
    const outcome = await this.outcomeWithinTimeout(request);
    if (outcome.outcome !== 'accepted') {
      throw toApiError(outcome);
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

  private async outcomeWithinTimeout(request: WriteRequest): Promise<WriteOutcome> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<WriteOutcome>((resolve) => {
      timer = setTimeout(() => {
        resolve({ outcome: 'unknown', reason: `no decision within ${this.timeoutMs} ms` });
      }, this.timeoutMs);
    });
    try {
      return await Promise.race([this.port.submitWrite(request), timeout]);
    } catch {
      return { outcome: 'unknown', reason: 'submitting the write failed' };
    } finally {
      clearTimeout(timer);
    }
  }
}

function splitKey(key: ResourceKey): [ResourceKind, string] {
  const separator = key.indexOf('/');
  return [key.slice(0, separator) as ResourceKind, key.slice(separator + 1)];
}

function toApiError(outcome: Exclude<WriteOutcome, { outcome: 'accepted' }>): ApiError {
  switch (outcome.outcome) {
    case 'conflict': {
      const { currentVersion } = outcome;
      return new ApiError(
        'PRECONDITION_FAILED',
        currentVersion === undefined
          ? 'there is no such resource'
          : 'the resource is at another version',
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
