/**
 * The scenarios. Rates are per second of all callers together. `booking` and `lookup` share a service of 5
 * endpoints with 4 slots each, which carries 400 lookups a second at most.
 */
import { uniformCosts, type ProcessorCosts } from './emulated-processor.js';
import type { Fault, RequestClass, Scenario } from './scenario.js';

/** Time in which callers' requests arrive, in milliseconds. */
const DURATION_MS = 12_000;
/** When faults hold, so that the fleet is seen before, in and after them. */
const TROUBLE = { fromMs: 3_000, untilMs: 8_000 } as const;
/** 80 Mbit/s. */
const WIDE_BYTES_PER_MS = 10_000;
/** 4 Mbit/s. */
const NARROW_BYTES_PER_MS = 500;

const LOOKUP: RequestClass = {
  name: 'lookup',
  service: 'rooms',
  ratePerSecond: 240,
  workMs: 50,
  uploadBytes: 0,
  answerBytes: 1_000,
  targetMs: 200,
  deadlineMs: 800,
  priority: 1,
  repeatable: true,
  worth: 1,
  lateShare: 0.3,
  callerRetries: 1,
  calls: [],
};

const BOOKING: RequestClass = {
  ...LOOKUP,
  name: 'booking',
  ratePerSecond: 40,
  workMs: 80,
  targetMs: 400,
  deadlineMs: 1_500,
  priority: 0,
  repeatable: false,
  worth: 3,
  lateShare: 0.6,
};

const UPLOAD: RequestClass = {
  ...BOOKING,
  name: 'upload',
  service: 'photos',
  ratePerSecond: 40,
  uploadBytes: 60_000,
  workMs: 60,
  targetMs: 600,
  deadlineMs: 2_000,
  priority: 1,
  worth: 2,
};

const PRICE: RequestClass = {
  ...LOOKUP,
  name: 'price',
  service: 'prices',
  ratePerSecond: 0,
  workMs: 20,
  targetMs: 80,
  deadlineMs: 400,
};

/** A call for a price that makes a call of its own. */
const OFFER: RequestClass = {
  ...PRICE,
  name: 'offer',
  service: 'offers',
  workMs: 30,
  targetMs: 150,
  deadlineMs: 600,
  calls: ['price'],
};

const JOURNEY: RequestClass = {
  ...LOOKUP,
  name: 'journey',
  ratePerSecond: 150,
  workMs: 30,
  targetMs: 300,
  deadlineMs: 1_200,
  calls: ['offer', 'price'],
};

/** A search makes two calls to the service of orders, which they share with the orders of callers. */
const QUOTE: RequestClass = {
  ...PRICE,
  name: 'quote',
  service: 'orders',
  workMs: 30,
  targetMs: 120,
  deadlineMs: 400,
  priority: 0,
  callerRetries: 0,
};

const STOCK: RequestClass = { ...QUOTE, name: 'stock', service: 'stores' };

/** At 360 a second, searches need 0.97 of the slots of their service, and orders with all calls 0.7 of theirs. */
const SEARCH: RequestClass = {
  ...LOOKUP,
  name: 'search',
  service: 'searches',
  ratePerSecond: 360,
  workMs: 120,
  targetMs: 400,
  deadlineMs: 2_500,
  priority: 2,
  lateShare: 0.1,
  callerRetries: 2,
  maxRetryWaitShare: 1 / 3,
  calls: ['quote', 'quote'],
  callShare: 0.7,
  hasParallelCalls: true,
};

const ORDER: RequestClass = {
  ...SEARCH,
  name: 'order',
  service: 'orders',
  ratePerSecond: 110,
  workMs: 160,
  targetMs: 500,
  deadlineMs: 3_000,
  priority: 1,
  repeatable: false,
  worth: 2,
  calls: ['stock'],
};

/** Callers on all machines, unequal endpoints, and messages that cost processor time. */
const SHARED: Scenario = {
  name: 'shared',
  title: 'Searches whose calls share a service with orders, at the capacity',
  durationMs: DURATION_MS,
  edgeNodes: 0,
  callersBeside: ['searches', 'orders', 'stores'],
  zones: 3,
  linkBytesPerMs: 10 * WIDE_BYTES_PER_MS,
  processorCosts: uniformCosts(1),
  services: [
    { name: 'searches', endpoints: 6, slots: 12, speeds: [0.5, 1, 1, 1.5] },
    { name: 'orders', endpoints: 4, slots: 12, speeds: [0.5, 1, 1, 1.5] },
    { name: 'stores', endpoints: 3, slots: 12, speeds: [0.7, 0.7, 1.6] },
  ],
  classes: [SEARCH, ORDER, QUOTE, STOCK],
  faults: [],
};

/** What work costs on 0.27 of a core, in milliseconds: measured processor time divided by the share. */
const SMALL_PROCESSOR: ProcessorCosts = {
  request: 4.5,
  repeat: 5.1,
  attempt: 3.9,
  answer: 4.5,
  refusal: 4.4,
  other: 1,
};

const RESOLVE: RequestClass = {
  ...LOOKUP,
  name: 'resolve',
  service: 'maps',
  ratePerSecond: 0,
  workMs: 22,
  targetMs: 100,
  deadlineMs: 250,
  priority: 0,
  callerRetries: 0,
};

/** An address look-up calls the service of maps twice in 7 of 10 cases, and holds its slot meanwhile. */
const ADDRESS: RequestClass = {
  ...LOOKUP,
  name: 'address',
  service: 'addresses',
  ratePerSecond: 143,
  workMs: 90,
  targetMs: 400,
  deadlineMs: 1_500,
  priority: 0,
  worth: 1.4,
  lateShare: 0.11,
  callerRetries: 2,
  maxRetryWaitShare: 1 / 3,
  calls: ['resolve', 'resolve'],
  callShare: 0.7,
};

const REGISTRATION: RequestClass = {
  ...ADDRESS,
  name: 'registration',
  ratePerSecond: 54,
  workMs: 120,
  targetMs: 500,
  priority: 1,
  repeatable: false,
  lateShare: 0.3,
  calls: [],
};

const BULK: RequestClass = {
  ...ADDRESS,
  name: 'bulk',
  service: 'maps',
  ratePerSecond: 24,
  workMs: 360,
  targetMs: 2_500,
  deadlineMs: 3_000,
  priority: 2,
  worth: 0.36,
  lateShare: 0.44,
  calls: [],
};

/** Two classes share endpoints, a third of which is evacuated for a while; nodes are small. */
const SMALL_NODES: Scenario = {
  name: 'small-nodes',
  title:
    'A third of the endpoints is evacuated and lookups rise, at nodes with little processor time',
  durationMs: DURATION_MS,
  edgeNodes: 0,
  callersBeside: ['addresses', 'maps'],
  zones: 3,
  linkBytesPerMs: WIDE_BYTES_PER_MS,
  processorCosts: SMALL_PROCESSOR,
  services: [
    { name: 'addresses', endpoints: 10, slots: 4 },
    { name: 'maps', endpoints: 6, slots: 4 },
  ],
  classes: [ADDRESS, REGISTRATION, BULK, RESOLVE],
  faults: [
    { kind: 'evacuated-zone', ...TROUBLE, zone: 'z1' },
    { kind: 'burst', ...TROUBLE, requestClass: 'address', factor: 1.2 },
  ],
};

const ROOMS = { name: 'rooms', endpoints: 5, slots: 4 } as const;

const CALM: Scenario = {
  name: 'calm',
  title: 'Lookups and bookings at three quarters of the capacity',
  durationMs: DURATION_MS,
  edgeNodes: 4,
  zones: 2,
  linkBytesPerMs: WIDE_BYTES_PER_MS,
  services: [ROOMS],
  classes: [LOOKUP, BOOKING],
  faults: [],
};

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  CALM,
  withFaults('burst', 'Twice the lookups for five seconds', [
    { kind: 'burst', ...TROUBLE, requestClass: 'lookup', factor: 2 },
  ]),
  {
    ...withFaults(
      'beside',
      'Callers on the machines of the endpoints; some more lookups for a while',
      [{ kind: 'burst', ...TROUBLE, requestClass: 'lookup', factor: 1.4 }],
    ),
    edgeNodes: 0,
    callersBeside: ['rooms'],
  },
  withFaults('slow', 'One endpoint takes six times as long for five seconds', [
    { kind: 'slow-endpoint', ...TROUBLE, service: 'rooms', factor: 6 },
  ]),
  {
    ...withFaults('narrow', 'Uploads beside lookups, while two links carry half of what they did', [
      { kind: 'narrow-link', ...TROUBLE, service: 'photos', bytesPerMs: NARROW_BYTES_PER_MS },
      { kind: 'narrow-link', ...TROUBLE, service: 'rooms', bytesPerMs: NARROW_BYTES_PER_MS },
    ]),
    linkBytesPerMs: 2 * NARROW_BYTES_PER_MS,
    services: [ROOMS, { name: 'photos', endpoints: 3, slots: 4 }],
    classes: [LOOKUP, UPLOAD],
  },
  withFaults('lost', 'A node dies with its endpoint, and comes back after five seconds', [
    { kind: 'crashed-node', ...TROUBLE, service: 'rooms' },
  ]),
  withFaults('silent', 'Nothing passes the link of one node for five seconds', [
    { kind: 'silent-link', ...TROUBLE, service: 'rooms' },
  ]),
  {
    ...withFaults('limited', 'Two of four endpoints name rate limits for five seconds', [
      { kind: 'limited-endpoint', ...TROUBLE, service: 'rooms', maxRatePerS: 3.3 },
      { kind: 'limited-endpoint', ...TROUBLE, service: 'rooms', maxRatePerS: 17.2 },
    ]),
    services: [{ name: 'rooms', endpoints: 4, slots: 9 }],
    classes: [LOOKUP],
  },
  {
    ...withFaults('limited-low', 'One endpoint names a low rate limit, and its node restarts', [
      { kind: 'limited-endpoint', ...TROUBLE, service: 'rooms', maxRatePerS: 1 },
      { kind: 'crashed-node', fromMs: 5_000, untilMs: 5_500, service: 'rooms' },
    ]),
    services: [{ name: 'rooms', endpoints: 1, slots: 9 }],
    classes: [{ ...LOOKUP, ratePerSecond: 60 }],
  },
  {
    ...withFaults('cold', 'Endpoints turn cold by a restart and an evacuation; requests are held', [
      { kind: 'evacuated-zone', fromMs: 2_000, untilMs: 4_500, zone: 'z1' },
      { kind: 'restarted-endpoint', fromMs: 3_000, untilMs: 3_000, service: 'rooms' },
      { kind: 'restarted-endpoint', fromMs: 8_000, untilMs: 8_000, service: 'rooms' },
      { kind: 'crashed-node', fromMs: 9_000, untilMs: 9_300, service: 'rooms' },
      { kind: 'held-requests', ...TROUBLE, service: 'rooms', holdMs: 250 },
    ]),
    newsDelayMs: 800,
    services: [{ ...ROOMS, coldStart: { durationMs: 3_000, ratePerS: 8.4, maxInSecond: 20.6 } }],
    classes: [
      { ...LOOKUP, workMs: 20 },
      { ...UPLOAD, service: 'rooms', ratePerSecond: 20 },
    ],
  },
  {
    ...withFaults('depth', 'Calls that make calls, while one endpoint is slow', [
      { kind: 'slow-endpoint', ...TROUBLE, service: 'prices', factor: 6 },
    ]),
    services: [
      ROOMS,
      { name: 'offers', endpoints: 3, slots: 4 },
      { name: 'prices', endpoints: 3, slots: 3 },
    ],
    classes: [JOURNEY, OFFER, PRICE],
  },
  SHARED,
  {
    ...SHARED,
    name: 'shared-burst',
    title: 'The same with 1.7 times as many callers for five seconds',
    faults: [
      { kind: 'burst', ...TROUBLE, requestClass: 'search', factor: 1.7 },
      { kind: 'burst', ...TROUBLE, requestClass: 'order', factor: 1.7 },
    ],
  },
  SMALL_NODES,
  sharedAt('shared-more', 'The same with 1.25 times as many callers throughout', 1.25),
  sharedAt('shared-twice', 'The same with twice as many callers throughout', 2),
  sharedAt('shared-thrice', 'The same with three times as many callers throughout', 3),
];

/** The shared scenario with `factor` times as many callers throughout. */
function sharedAt(name: string, title: string, factor: number): Scenario {
  const classes = SHARED.classes.map((requestClass) => ({
    ...requestClass,
    ratePerSecond: requestClass.ratePerSecond * factor,
  }));
  return { ...SHARED, name, title, classes };
}

function withFaults(name: string, title: string, faults: readonly Fault[]): Scenario {
  return { ...CALM, name, title, faults };
}
