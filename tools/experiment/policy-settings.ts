/** What two variants of the policy may differ in; the rest is as the product ships it. */
import { DEFAULT_PROXY_LIMITS, type ProxyLimits } from '../../src/proxy/proxy-limits.js';
import { DEFAULT_HOP_COST } from '../../src/routing/least-latency-strategy.js';
import { STORE_NODE_LIMITS } from '../../src/runtime/store-node-limits.js';

/** Settings that a variant may change. */
export const SETTING_NAMES = [
  /** Attempts after the first. */
  'retries',
  /** Attempts after one that did not reach its endpoint. */
  'redirects',
  /** Such attempts that a request has left at least when it turns late. */
  'lateRedirects',
  /** Requests that may wait for one endpoint, for each of its slots. */
  'queuePerSlot',
  /** Cost of the way over another node, as a share of an answer's worth. */
  'hopCost',
  /** Retries towards one service that a node may save up. */
  'savedRetries',
] as const;

/** The name of one. */
export type SettingName = (typeof SETTING_NAMES)[number];

/** Values that differ from those shipped. */
export type Variant = Readonly<Partial<Record<SettingName, number>>>;

/** What the emulated nodes run with. */
export interface PolicySettings {
  readonly limits: ProxyLimits;
  readonly hopCost: number;
}

/** A variant that can't be understood. */
export class VariantError extends Error {}

const SHIPPED_LIMITS: ProxyLimits = { ...DEFAULT_PROXY_LIMITS, ...STORE_NODE_LIMITS };

/** The settings of a variant. */
export function settingsOf(variant: Variant): PolicySettings {
  const { retries, redirects, lateRedirects, queuePerSlot, savedRetries } = variant;
  return {
    hopCost: variant.hopCost ?? DEFAULT_HOP_COST,
    limits: {
      ...SHIPPED_LIMITS,
      ...(retries !== undefined && { maxRetries: retries }),
      ...(redirects !== undefined && { maxRedirects: redirects }),
      ...(lateRedirects !== undefined && { maxLateRedirects: lateRedirects }),
      ...(queuePerSlot !== undefined && { maxQueuedPerSlot: queuePerSlot }),
      ...(savedRetries !== undefined && { maxSavedRetries: savedRetries }),
    },
  };
}

/** Reads `name=value` words. */
export function parseVariant(words: readonly string[]): Variant {
  return Object.fromEntries(words.map(parseSetting));
}

/** A variant in words. */
export function describeVariant(variant: Variant): string {
  const words = Object.entries(variant).map(([name, value]) => `${name}=${value}`);
  return words.length === 0 ? 'as shipped' : words.join(' ');
}

function parseSetting(word: string): [SettingName, number] {
  const [given, text = ''] = word.split('=');
  const name = SETTING_NAMES.find((one) => one === given);
  const value = Number(text);
  if (name === undefined || text.trim() === '' || !Number.isFinite(value) || value < 0) {
    throw new VariantError(
      `"${word}" is not name=value with a value of 0 or more; names: ${SETTING_NAMES.join(', ')}`,
    );
  }
  return [name, value];
}
