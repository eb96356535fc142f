/**
 * What makes two requests the same at any two machines: method, path and query, host, body, and who called.
 * Names that callers give to each try are left out. The caller stands apart, at the end: whether it matters
 * shows only once one caller is served where another is not.
 */
import { isIP } from 'node:net';
import { cryptography } from '../model/cryptography.js';
import { headerValue, type HeaderList } from '../proxy/headers.js';
import { BufferedBody, type RequestBody } from '../proxy/request-body.js';

/** Hexadecimal digits of a digest of a request's head, and of one of its body. */
const PART_DIGITS = 16;
/** The same, of one of its caller. */
const CALLER_DIGITS = 8;
const DIGITS_PER_BYTE = 2;
/** Bytes of a fingerprint. */
export const FINGERPRINT_BYTES = (2 * PART_DIGITS + CALLER_DIGITS) / DIGITS_PER_BYTE;
/** The port of a host and port. */
const PORT = /:[0-9]*$/;
/** Around an IPv6 address. */
const BRACKETS = /^\[|\]$/g;
/** Stands between parts that hold no line ends. */
const SEPARATOR = '\n';

/** The parts of a request that its fingerprint is made of. */
export interface FingerprintedParts {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: RequestBody;
}

/** The fingerprint of one request; digests are made when they are asked for, each once. */
export class RequestFingerprint {
  private knownHead: string | undefined;
  private knownWhole: string | undefined;

  /** `callerHeader` names the caller, in lower case; undefined where none does. */
  constructor(
    private readonly parts: FingerprintedParts,
    private readonly callerHeader: string | undefined,
  ) {}

  /** Digest of all but body and caller: the first digits of {@link whole}. */
  get head(): string {
    this.knownHead ??= digestOf([textOf(this.parts)]);
    return this.knownHead;
  }

  /** Digest of the request, in hexadecimal digits. */
  get whole(): string {
    this.knownWhole ??= this.head + digestOf(bodyOf(this.parts.body)) + this.caller;
    return this.knownWhole;
  }

  private get caller(): string {
    const { callerHeader, parts } = this;
    const name = callerHeader === undefined ? '' : headerValue(parts.headers, callerHeader);
    return digestOf([name ?? '']).slice(0, CALLER_DIGITS);
  }
}

/** The part of a fingerprint that does not depend on the caller. */
export function callerlessOf(fingerprint: string): string {
  return fingerprint.slice(0, 2 * PART_DIGITS);
}

/** The part of a fingerprint that depends on neither body nor caller. */
export function headOf(fingerprint: string): string {
  return fingerprint.slice(0, PART_DIGITS);
}

function textOf({ method, target, headers }: FingerprintedParts): string {
  return [method, target, hostOf(headers)].join(SEPARATOR);
}

/**
 * The host without a port: nodes may listen on different ones. An address names the node that is asked, not what
 * it is asked for: as a part of what tells requests apart, one that three nodes were asked for ended three
 * endpoints for each (9 in all).
 */
function hostOf(headers: HeaderList): string {
  const host = (headerValue(headers, 'host') ?? '').toLowerCase().replace(PORT, '');
  return isIP(host.replace(BRACKETS, '')) === 0 ? host : '';
}

/**
 * A body that nodes pass on without holding it is known by its length alone: requests that differ only in
 * such bodies are taken for the same one, and one of them that is answered clears them all.
 */
function bodyOf(body: RequestBody): readonly (string | Buffer)[] {
  return body instanceof BufferedBody ? ['held', body.bytes] : [`passed on ${body.length ?? ''}`];
}

function digestOf(parts: readonly (string | Buffer)[]): string {
  const hash = cryptography().createHash('sha256');
  parts.forEach((part) => hash.update(part));
  return hash.digest('hex').slice(0, PART_DIGITS);
}
