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
    ...Array.from({ length: fillers }, (_, idx) =>
      route(`filler${idx}`, `/filler${idx}/`, 'safe', 'reads'),
    ),
    ...added.map((addedBy) => route(`added${addedBy}`, addedPrefix(addedBy), 'safe', 'reads')),
  ];
  return {
    version: (number * CONFIGURATION_STEP).toString(VERSION_RADIX).padStart(VERSION_DIGITS, '0'),
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
