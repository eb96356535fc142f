/**
 * Proof, on each relayed request, that the sender holds the fleet key: a keyed hash over the
 * sender's machine identity and an expiry. Wall clocks of nodes may differ by up to the lifetime.
 */
import { cryptography } from '../../model/cryptography.js';

/** How long a token is valid, in milliseconds; far above the differences between clocks. */
export const TOKEN_LIFETIME_MS = 300_000;
/** A token is made anew when less than this is left of it, in milliseconds. */
const RENEW_BEFORE_MS = 150_000;
/** Keeps this use of the fleet key apart from others. */
const PURPOSE = 'ferryspool relay v1';
const MAX_TOKEN_LENGTH = 512;

/** Makes the tokens of one node; reuses a token for a part of its lifetime. */
export class RelayTokenIssuer {
  private token = '';
  private expiresAtMs = 0;

  constructor(
    private readonly fleetKey: Uint8Array,
    private readonly machineId: string,
  ) {}

  /** A valid token; `wallClockMs` is milliseconds since 1970. */
  current(wallClockMs: number): string {
    if (this.expiresAtMs - wallClockMs < RENEW_BEFORE_MS) {
      this.expiresAtMs = Math.floor(wallClockMs) + TOKEN_LIFETIME_MS;
      const claim = `${this.machineId}:${this.expiresAtMs}`;
      this.token = `${claim}:${sign(this.fleetKey, claim).toString('hex')}`;
    }
    return this.token;
  }
}

/** The machine identity that a valid token proves; undefined for any other text. */
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
