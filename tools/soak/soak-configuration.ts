/**
 * The configurations that a soak writes, by their numbers: routes that all of them have, and some that come
 * with one configuration and go with a later one.
 */
import { SOAK_TERMS } from './soak-terms.js';

const MS_PER_SECOND = 1_000;
/** Versions are numbers as hexadecimal text of equal length; this much lies between two. */
const CONFIGURATION_STEP = 3;
const VERSION_RADIX = 16;
const VERSION_DIGITS = 8;

/** Host of all routes. */
export const SOAK_HOST = 'soak.example';
/** Services of the machines, in turn. */
export const SOAK_SERVICES = ['reads', 'orders'] as const;
/** Paths of the routes that every configuration has, the third one for long bodies. */
export const SAFE_PREFIX = '/reads/';
export const UNSAFE_PREFIX = '/orders/';
export const UPLOAD_PREFIX = '/uploads/';
/** Path of the route of calls that back ends make, which are safe. */
export const CALLED_PREFIX = '/called/';
/** Paths of the routes whose requests work for long: safe ones and others. */
export const SCAN_PREFIX = '/scans/';
export const JOB_PREFIX = '/jobs/';

/** Path of the route that goes to another service every few configurations. */
export const MOVED_PREFIX = '/moved/';
/** Path of the routes that only configurations have which are not valid. */
export const INVALID_PREFIX = '/invalid/';

/** Configurations after which the moved route goes to another service. */
const CONFIGURATIONS_PER_MOVE = 3;

/** Time-outs of the routes, in milliseconds. */
export const ROUTE_TIMEOUT_MS = 1_500;
export const UPLOAD_TIMEOUT_MS = 8_000;
export const LONG_TIMEOUT_MS = 6_000;
const TARGET_LATENCY_MS = 500;
const UPLOAD_TARGET_LATENCY_MS = 1_200;
const LONG_TARGET_LATENCY_MS = 2_500;
/** Largest body that a node takes: above the largest upload. */
const MAX_BODY_BYTES = 512 * 1_024;

/** Least and longest time for which a back end works on a request, in milliseconds. */
export interface WorkRange {
  readonly leastMs: number;
  readonly mostMs: number;
}

const SHORT_WORK: WorkRange = { leastMs: 5, mostMs: 60 };
const UPLOAD_WORK: WorkRange = { leastMs: 100, mostMs: 400 };
const LONG_WORK: WorkRange = { leastMs: 150, mostMs: 1_500 };

/**
 * A configuration: it adds a route to the one before, and drops the oldest of those that were added. It has
 * `fillers` further routes that nobody uses.
 */
export function configurationOf(number: number, fillers = 0): object {
  const added = Array.from(
    { length: SOAK_TERMS.routeLifeInConfigurations },
    (_, idx) => number - idx,
  ).filter((addedBy) => addedBy > 0);
  const paths = [
    route('reads', SAFE_PREFIX, 'safe', 'reads'),
    route('orders', UNSAFE_PREFIX, 'unsafe', 'orders'),
    UPLOAD_ROUTE,
    longRoute('scans', SCAN_PREFIX, 'safe', 'reads'),
    longRoute('jobs', JOB_PREFIX, 'unsafe', 'orders'),
    route('called', CALLED_PREFIX, 'safe', 'orders'),
    route('moved', MOVED_PREFIX, 'safe', movedTo(number)),
    ...Array.from({ length: fillers }, (_, idx) =>
      route(`filler${idx}`, `/filler${idx}/`, 'safe', 'reads'),
    ),
    ...added.map((addedBy) => route(`added${addedBy}`, addedPrefix(addedBy), 'safe', 'reads')),
  ];
  return documentOf(number * CONFIGURATION_STEP, paths);
}

/** Service of the moved route in a configuration. */
export function movedTo(number: number): string {
  const moves = Math.floor(number / CONFIGURATIONS_PER_MOVE);
  return SOAK_SERVICES[moves % SOAK_SERVICES.length] ?? SOAK_SERVICES[0];
}

/** What is wrong with a configuration that is not valid. */
export const INVALID_VARIANTS = [
  'unknown-service',
  'negative-timeout',
  'contradictory-routes',
  'no-weight',
  'no-limits',
  'no-services',
] as const;

/** What is wrong with a configuration that is not valid. */
export type InvalidVariant = (typeof INVALID_VARIANTS)[number];

/** A configuration that is not valid, newer than the one of `number`, with none of its routes. */
export function invalidConfigurationOf(number: number, variant: InvalidVariant): object {
  const valid = route('invalid', INVALID_PREFIX, 'safe', 'reads');
  const version = number * CONFIGURATION_STEP + 1;
  switch (variant) {
    case 'unknown-service':
      return documentOf(version, [valid, route('other', '/other/', 'safe', 'unknown')]);
    case 'negative-timeout':
      return documentOf(version, [{ ...valid, timeoutS: -1 }]);
    case 'contradictory-routes':
      return documentOf(version, [valid, route('again', INVALID_PREFIX, 'safe', 'orders')]);
    case 'no-weight': {
      const weightless = { weightedTargets: [{ service: 'reads', weight: 0 }] };
      const other = route('other', '/other/', 'safe', 'reads');
      return documentOf(version, [valid, { ...other, service: undefined, ...weightless }]);
    }
    case 'no-limits':
      return { ...documentOf(version, [valid]), limits: undefined };
    case 'no-services':
      return { ...documentOf(version, [valid]), services: [] };
  }
}

function documentOf(version: number, paths: readonly object[]): object {
  return {
    version: version.toString(VERSION_RADIX).padStart(VERSION_DIGITS, '0'),
    services: SOAK_SERVICES.map((name) => ({ name })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: MAX_BODY_BYTES,
      headerTimeoutS: 3,
      idleTimeoutS: SOAK_TERMS.idleTimeoutMs / MS_PER_SECOND,
    },
    virtualHosts: [{ hostname: SOAK_HOST, paths }],
  };
}

/** Path of the route that came with a configuration. */
export function addedPrefix(number: number): string {
  return `/added${number}/`;
}

/** How long a back end works on a request. */
export function workOf(target: string): WorkRange {
  if (target.startsWith(UPLOAD_PREFIX)) {
    return UPLOAD_WORK;
  }
  return target.startsWith(SCAN_PREFIX) || target.startsWith(JOB_PREFIX) ? LONG_WORK : SHORT_WORK;
}

function longRoute(name: string, pathPrefix: string, kind: string, service: string): object {
  return {
    ...route(name, pathPrefix, kind, service),
    timeoutS: LONG_TIMEOUT_MS / MS_PER_SECOND,
    targetLatencyS: LONG_TARGET_LATENCY_MS / MS_PER_SECOND,
  };
}

function route(name: string, pathPrefix: string, kind: string, service: string): object {
  return {
    ...{ name, pathPrefix, kind, service },
    timeoutS: ROUTE_TIMEOUT_MS / MS_PER_SECOND,
    targetLatencyS: TARGET_LATENCY_MS / MS_PER_SECOND,
    priority: 1,
    maxAttempts: SOAK_TERMS.maxAttempts,
  };
}

const UPLOAD_ROUTE = {
  ...route('uploads', UPLOAD_PREFIX, 'unsafe', 'orders'),
  timeoutS: UPLOAD_TIMEOUT_MS / MS_PER_SECOND,
  targetLatencyS: UPLOAD_TARGET_LATENCY_MS / MS_PER_SECOND,
};
