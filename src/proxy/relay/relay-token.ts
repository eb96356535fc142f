/**
 * Token that proves, when a relay connection is opened, that the sender holds the fleet key: an HMAC over the
 * sender's machine identity and an expiry time. Wall clocks of nodes may differ by up to the token lifetime.
 */
import { cryptography } from '../../model/cryptography.js';

/** Lifetime of a token, in milliseconds; far longer than the clock skew between nodes. */
export const TOKEN_LIFETIME_MS = 300_000;
/** A token is renewed when its remaining lifetime is shorter than this, in milliseconds. */
const RENEW_BEFORE_MS = 150_000;
/** Domain separator from other uses of the fleet key. */
const PURPOSE = 'ferryspool relay v1';
const MAX_TOKEN_LENGTH = 512;

/** Issues the tokens of one node; reuses a token for part of its lifetime. */
export class RelayTokenIssuer {
  private token = '';
  private expiresAtMs = 0;

  constructor(
    private readonly fleetKey: Uint8Array,
    private readonly machineId: string,
  ) {}

  /** Returns a valid token; `wallClockMs` is the Unix time in milliseconds. */
  current(wallClockMs: number): string {
    if (this.expiresAtMs - wallClockMs < RENEW_BEFORE_MS) {
      this.expiresAtMs = Math.floor(wallClockMs) + TOKEN_LIFETIME_MS;
      const claim = `${this.machineId}:${this.expiresAtMs}`;
      this.token = `${claim}:${sign(this.fleetKey, claim).toString('hex')}`;
    }
    return this.token;
  }
}

/** Returns the machine identity that a valid token proves; undefined for an invalid one. */
export function verifyRelayToken(
  fleetKey: Uint8Array,
  token: string | undefined,
  wallClockMs: number,
): string | undefined {
  if (token === undefined || token.length > MAX_TOKEN_LENGTH) {
    return undefined;
  }
  const match = /^([a-z0-9._-]+):([0-9]{1,15}):([0-9a-f]{64})$/.exec(token);
  if (match === null) {
    return undefined;
  }
  const [, machineId = '', expiry = '', signature = ''] = match;
  const expected = sign(fleetKey, `${machineId}:${expiry}`);
  if (!cryptography().timingSafeEqual(expected, Buffer.from(signature, 'hex'))) {
    return undefined;
  }
  const remainingMs = Number(expiry) - wallClockMs;
  const isCurrent = remainingMs > 0 && remainingMs <= 2 * TOKEN_LIFETIME_MS;
  return isCurrent ? machineId : undefined;
}

function sign(fleetKey: Uint8Array, claim: string): Buffer {
  const hash = cryptography().createHmac('sha256', fleetKey);
  return hash.update(PURPOSE).update('\0').update(claim).digest();
}
