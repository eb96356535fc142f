/** Converts an HTTP response of the platform to a {@link PlatformAnswer}. Pure. */
import { canonicalJson } from '../model/canonical-json.js';
import {
  InvalidConfigurationError,
  type ConfigurationFault,
} from '../model/configuration-error.js';
import { machineListSchema } from '../model/machine.js';
import { parseSourceDocument, sourceDocumentValues } from '../model/source-document.js';
import type { PlatformAnswer, PlatformDocument } from '../control/control-event.js';

/** Maximum delay accepted from `Retry-After`, in milliseconds; longer ones are shortened to it. */
export const MAX_RETRY_AFTER_MS = 60_000;

const OK_STATUS = 200;
const NOT_MODIFIED_STATUS = 304;
const MILLISECONDS_PER_SECOND = 1_000;

/** A complete response of the platform. */
export interface PlatformResponse {
  readonly status: number;
  /** The `Retry-After` header; only the form in seconds is used. */
  readonly retryAfter?: string | undefined;
  readonly body: string;
}

/** Interprets `response`; `knownNumber` is the version named in the request, or 0 if there was none. */
export function interpretResponse(
  document: PlatformDocument,
  knownNumber: number,
  response: PlatformResponse,
): PlatformAnswer {
  if (response.status === OK_STATUS) {
    return interpretBody(document, response.body);
  }
  if (response.status === NOT_MODIFIED_STATUS && knownNumber > 0) {
    return { outcome: 'not-modified' };
  }
  return unavailable(response.retryAfter);
}

/** An answer that is rejected entirely because of one fault. */
export function invalidAnswer(number: number, path: string, reason: string): PlatformAnswer {
  return { outcome: 'invalid', number, faults: [{ path, reason }] };
}

function unavailable(retryAfter: string | undefined): PlatformAnswer {
  if (retryAfter === undefined || !/^\d{1,9}$/.test(retryAfter.trim())) {
    return { outcome: 'unavailable' };
  }
  const retryAfterMs = Number(retryAfter) * MILLISECONDS_PER_SECOND;
  return { outcome: 'unavailable', retryAfterMs: Math.min(retryAfterMs, MAX_RETRY_AFTER_MS) };
}

function interpretBody(document: PlatformDocument, body: string): PlatformAnswer {
  let value: unknown;
  try {
    value = JSON.parse(body);
  } catch {
    // The parser's own message quotes the text, which may contain a secret.
    return invalidAnswer(0, 'body', 'expected JSON');
  }
  return document === 'source' ? interpretSource(value) : interpretMachines(value);
}

function interpretSource(value: unknown): PlatformAnswer {
  try {
    const source = parseSourceDocument(value);
    return { outcome: 'document', number: source.version, values: sourceDocumentValues(source) };
  } catch (error) {
    if (error instanceof InvalidConfigurationError) {
      return { outcome: 'invalid', number: versionOf(value), faults: error.faults };
    }
    throw error;
  }
}

function interpretMachines(value: unknown): PlatformAnswer {
  const parsed = machineListSchema.safeParse(value);
  if (!parsed.success) {
    const faults: ConfigurationFault[] = parsed.error.issues.map((issue) => ({
      path: issue.path.join('.'),
      reason: issue.message,
    }));
    return { outcome: 'invalid', number: versionOf(value), faults };
  }
  const values = new Map<string, string>();
  for (const machine of parsed.data.machines) {
    const key = `machine/${machine.id}`;
    if (values.has(key)) {
      return invalidAnswer(parsed.data.version, key, 'duplicate machine identity');
    }
    values.set(key, canonicalJson(machine));
  }
  return { outcome: 'document', number: parsed.data.version, values };
}

/** Version number of a document that is otherwise invalid; 0 if it has none. */
function versionOf(value: unknown): number {
  if (value === null || typeof value !== 'object' || !('version' in value)) {
    return 0;
  }
  const { version } = value;
  return Number.isSafeInteger(version) && Number(version) >= 0 ? Number(version) : 0;
}
