/**
 * Identifies equal requests on all machines by method, path and query, host, body, and caller. Ids that callers
 * assign to each attempt are excluded. The digest of the caller is a separate part at the end, because whether the
 * caller matters is known only when one caller is served and another is not.
 */
import { isIP } from 'node:net';
import { cryptography } from '../model/cryptography.js';
import { headerValue, type HeaderList } from '../proxy/headers.js';
import { BufferedBody, type RequestBody } from '../proxy/request-body.js';

/** Hexadecimal digits of the head digest, and of the body digest. */
const PART_DIGITS = 16;
/** Hexadecimal digits of the caller digest. */
const CALLER_DIGITS = 8;
const DIGITS_PER_BYTE = 2;
/** Length of a fingerprint in bytes. */
export const FINGERPRINT_BYTES = (2 * PART_DIGITS + CALLER_DIGITS) / DIGITS_PER_BYTE;
/** Matches the port at the end of a host header. */
const PORT = /:[0-9]*$/;
/** Matches the brackets around an IPv6 address. */
const BRACKETS = /^\[|\]$/g;
/** Separator of the digested parts, which contain no line breaks. */
const SEPARATOR = '\n';

/** The parts of a request that its fingerprint covers. */
export interface FingerprintedParts {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly headers: HeaderList;
  readonly body: RequestBody;
}

/** The fingerprint of one request; its digests are computed lazily and cached. */
export class RequestFingerprint {
  private cachedHeadDigest: string | undefined;
  private cachedFullDigest: string | undefined;

  /** `callerHeader` is the header that names the caller, in lower case; undefined when there is none. */
  constructor(
    private readonly parts: FingerprintedParts,
    private readonly callerHeader: string | undefined,
  ) {}

  /** Digest of method, target and host: the first digits of {@link fullDigest}. */
  get headDigest(): string {
    this.cachedHeadDigest ??= digestOf([headTextOf(this.parts)]);
    return this.cachedHeadDigest;
  }

  /** Digest of head, body and caller, in hexadecimal digits. */
  get fullDigest(): string {
    this.cachedFullDigest ??=
      this.headDigest + digestOf(bodyDigestInput(this.parts.body)) + this.callerDigest;
    return this.cachedFullDigest;
  }

  private get callerDigest(): string {
    const { callerHeader, parts } = this;
    const name = callerHeader === undefined ? '' : headerValue(parts.headers, callerHeader);
    return digestOf([name ?? '']).slice(0, CALLER_DIGITS);
  }
}

/** The digits of a fingerprint that do not depend on the caller. */
export function withoutCaller(fingerprint: string): string {
  return fingerprint.slice(0, 2 * PART_DIGITS);
}

/** The digits of a fingerprint that depend on neither body nor caller. */
export function headDigestOf(fingerprint: string): string {
  return fingerprint.slice(0, PART_DIGITS);
}

function headTextOf({ method, target, headers }: FingerprintedParts): string {
  return [method, target, hostOf(headers)].join(SEPARATOR);
}

/**
 * The host name without its port, since nodes may listen on different ports; empty for an IP address. An address
 * identifies the receiving node rather than the request: if it were part of the fingerprint, one request sent to
 * three nodes would end three endpoints for each of them (9 in total).
 */
function hostOf(headers: HeaderList): string {
  const host = (headerValue(headers, 'host') ?? '').toLowerCase().replace(PORT, '');
  return isIP(host.replace(BRACKETS, '')) === 0 ? host : '';
}

/**
 * A body that nodes forward without buffering is identified by its length alone: requests that differ only in such
 * bodies have the same fingerprint, and a successful response to one of them clears them all.
 */
function bodyDigestInput(body: RequestBody): readonly (string | Buffer)[] {
  return body instanceof BufferedBody ? ['held', body.bytes] : [`passed on ${body.length ?? ''}`];
}

function digestOf(parts: readonly (string | Buffer)[]): string {
  const hash = cryptography().createHash('sha256');
  parts.forEach((part) => hash.update(part));
  return hash.digest('hex').slice(0, PART_DIGITS);
}
