/**
 * Settings of one node: the schema, its defaults and its bounds. A name that ends in `Ms` is in
 * milliseconds, one that ends in `Bytes` in bytes. Unknown names are refused.
 */
import { z } from 'zod';
import { nameSchema } from '../model/resource.js';
import { MAX_VOTERS } from '../replication/voter-configuration.js';

/** Shortest fleet key and administration token, in characters. */
export const MIN_KEY_LENGTH = 16;
/** Longest fleet key and administration token, in characters. */
export const MAX_KEY_LENGTH = 1_024;
/** Longest interval that any setting may name, in milliseconds. */
const MAX_INTERVAL_MS = 3_600_000;
/** Largest size that any setting may name, in bytes. */
const MAX_SIZE_BYTES = 1_073_741_824;
/** Largest count that any setting may name. */
const MAX_COUNT = 1_000_000;

const intervalMs = z.number().int().min(1).max(MAX_INTERVAL_MS);
const sizeBytes = z.number().int().min(1_024).max(MAX_SIZE_BYTES);
const count = z.number().int().min(1).max(MAX_COUNT);
const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: 'expected an IP number' });
const httpUrl = z.url({ protocol: /^https?$/, error: 'expected an http or https URL' });
const key = z.string().min(MIN_KEY_LENGTH).max(MAX_KEY_LENGTH);

/** A port to listen on; 0 means any free one. */
const listenPort = z.number().int().min(0).max(65_535);
const remotePort = z.number().int().min(1).max(65_535);

/** Who this node is and where it stands. */
const machineSettingsSchema = z.strictObject({
  /** Identity of the machine, as on the platform's machine list. */
  id: nameSchema,
  /** IP number at which other nodes reach this one. */
  address: ipAddress,
  zone: nameSchema,
  region: nameSchema,
});

/** The four listeners. */
const portSettingsSchema = z.strictObject({
  /** Callers' HTTP requests. */
  caller: listenPort.default(8080),
  /** Requests relayed by other nodes. */
  relay: listenPort.default(8081),
  /** The peer protocol. */
  control: listenPort.default(8082),
  /** The resource API, status and metrics. */
  admin: listenPort.default(8083),
});

/**
 * Certificates for TLS between nodes. Each is PEM text, or the path of a PEM file, relative to the
 * settings file, that is read once at start.
 */
const tlsSettingsSchema = z.strictObject({
  certificatePem: z.string().min(1),
  /** Private key of the certificate; a secret. */
  keyPem: z.string().min(1),
  /** Authority that signed the certificates of all nodes. */
  authorityPem: z.string().min(1),
});

/** Certificates for TLS between nodes. */
export type TlsSettings = z.infer<typeof tlsSettingsSchema>;

/** A peer to dial before the machine list is known. */
const seedSchema = z.strictObject({ address: ipAddress, controlPort: remotePort });

/** Where and how the platform is read. */
const platformSettingsSchema = z.strictObject({
  /** The configuration source's document. */
  configurationUrl: httpUrl,
  /** The platform's lagging list of machines. */
  machinesUrl: httpUrl,
  /** Time between two reads by a node that holds a reader lease. */
  pollIntervalMs: intervalMs.default(500),
  /** Time after which a read is given up. */
  requestTimeoutMs: intervalMs.default(2_000),
});

/** The network of links between nodes. */
const overlaySettingsSchema = z
  .strictObject({
    /** Links that this node dials and keeps up. */
    neighbours: z.number().int().min(1).max(64).default(4),
    /** Links that this node accepts. */
    maxInbound: z.number().int().min(1).max(1_024).default(16),
    /** Time between two heartbeats on a link. */
    heartbeatIntervalMs: intervalMs.default(2_000),
    /** Silence after which a neighbour is suspected. */
    suspectAfterMs: intervalMs.default(5_000),
    /** Silence after which a neighbour is taken for dead. */
    deadAfterMs: intervalMs.default(10_000),
  })
  .refine((overlay) => overlay.suspectAfterMs > overlay.heartbeatIntervalMs, {
    path: ['suspectAfterMs'],
    error: 'expected more than overlay.heartbeatIntervalMs',
  })
  .refine((overlay) => overlay.deadAfterMs > overlay.suspectAfterMs, {
    path: ['deadAfterMs'],
    error: 'expected more than overlay.suspectAfterMs',
  });

/** The lease that allows a node to read the platform. */
const leaseSettingsSchema = z
  .strictObject({
    durationMs: intervalMs.default(6_000),
    /** Time between two renewals. */
    renewIntervalMs: intervalMs.default(2_000),
  })
  .refine((lease) => lease.renewIntervalMs < lease.durationMs, {
    path: ['renewIntervalMs'],
    error: 'expected less than lease.durationMs',
  });

/** Bounds on callers' requests. */
const proxySettingsSchema = z.strictObject({
  /** Request line and headers of one request. */
  maxHeaderBytes: sizeBytes.max(1_048_576).default(16_384),
  /** Body of one request. */
  maxBodyBytes: sizeBytes.default(16_777_216),
  /** Requests in flight on this node. */
  maxPendingRequests: count.default(4_096),
  /** Time that a planned stop gives to requests in flight. */
  drainTimeoutMs: intervalMs.default(30_000),
});

/** Bounds on the resource API. */
const apiSettingsSchema = z.strictObject({
  /** Body of one write. */
  maxBodyBytes: sizeBytes.default(65_536),
  /** Watches open at once. */
  maxWatchers: count.default(64),
  /** Changes remembered for watches; a watcher that falls further behind is dropped. */
  watchHistoryEvents: count.default(10_000),
  /** Size of the remembered changes. */
  watchHistoryBytes: sizeBytes.default(16_777_216),
  /** Time that a write may wait for an outcome; more than the replication itself gives it. */
  writeTimeoutMs: intervalMs.default(12_000),
});

/** Acceptance of operators' writes. */
const writesSettingsSchema = z
  .strictObject({
    /**
     * Machines that form the first group of voters of a fleet that holds nothing; the same list on
     * every node, kept up to date as machines are replaced. Empty: the fleet takes no writes.
     */
    initialVoters: z.array(nameSchema).max(MAX_VOTERS).default([]),
    /** Voters to have; a lost one is replaced by a live machine. */
    voterCount: z.number().int().min(1).max(MAX_VOTERS).default(5),
  })
  .refine((writes) => new Set(writes.initialVoters).size === writes.initialVoters.length, {
    path: ['initialVoters'],
    error: 'expected each machine once',
  });

/** Claims on idempotency keys. */
const claimsSettingsSchema = z.strictObject({
  /**
   * Whether a fleet whose holders of claims are all new grants claims at once. Otherwise it grants
   * none for five minutes, since a key may have been used before all of them were lost.
   */
  openWhenAllAreNew: z.boolean().default(false),
  /**
   * Groups that machines and keys are divided into, each with five holders of its own; the same on
   * every node. A group should have ten machines or more; a change counts as the loss of all claims.
   */
  groups: z.number().int().min(1).max(1_000).default(1),
});

/** What is logged. */
const logSettingsSchema = z.strictObject({
  level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});

/** Every section and its default. */
const settingsObjectSchema = z.strictObject({
  machine: machineSettingsSchema,
  ports: portSettingsSchema.prefault({}),
  /** IP number of the caller listener; `machine.address` when absent. */
  callerAddress: ipAddress.optional(),
  /** IP number of the admin listener; `machine.address` when absent. */
  adminAddress: ipAddress.optional(),
  /** Secret that all nodes of the fleet share; a peer without it learns nothing. */
  fleetKey: key,
  /**
   * Secret that operators present as a bearer token. When absent, the resource API can be read
   * without a token and refuses every write.
   */
  adminToken: key.optional(),
  /** TLS between nodes; plain TCP when absent. */
  tls: tlsSettingsSchema.optional(),
  /**
   * Peers to dial before the machine list is known. They also elect the reader of a fleet without a
   * list: every node is given the same seeds, a seed itself included.
   */
  seeds: z.array(seedSchema).max(64).default([]),
  /** The platform; a node without it learns everything from its peers. */
  platform: platformSettingsSchema.optional(),
  /**
   * Readers that each zone may have at the platform: zone to number, the same on every node. The
   * platform must bear their sum and one more, which reads when a zone's electors are lost.
   */
  readerShares: z.record(nameSchema, z.number().int().min(0).max(1_000)).default({}),
  overlay: overlaySettingsSchema.prefault({}),
  lease: leaseSettingsSchema.prefault({}),
  proxy: proxySettingsSchema.prefault({}),
  api: apiSettingsSchema.prefault({}),
  writes: writesSettingsSchema.prefault({}),
  claims: claimsSettingsSchema.prefault({}),
  log: logSettingsSchema.prefault({}),
});

/** Settings as they stand in a file; `z.input` is what an operator writes. */
export const settingsSchema = settingsObjectSchema.superRefine((settings, context) => {
  for (const [path, taken] of findTakenPorts(completeSettings(settings))) {
    const message = `expected a port that is not ports.${taken}, on one address`;
    context.addIssue({ code: 'custom', path: ['ports', path], message });
  }
});

/** What the schema gives, before addresses are filled in. */
export type ParsedSettings = z.infer<typeof settingsObjectSchema>;

/** Settings of a node: checked, complete and immutable. */
export type Settings = Readonly<ParsedSettings> & {
  readonly callerAddress: string;
  readonly adminAddress: string;
};

/** Fills in the settings that default to another one. */
export function completeSettings(parsed: ParsedSettings): Settings {
  return {
    ...parsed,
    callerAddress: parsed.callerAddress ?? parsed.machine.address,
    adminAddress: parsed.adminAddress ?? parsed.machine.address,
  };
}

type PortName = keyof ParsedSettings['ports'];

/** Listeners that could not be opened beside an earlier one, each with that one. */
function findTakenPorts({
  ports,
  machine,
  callerAddress,
  adminAddress,
}: Settings): [PortName, PortName][] {
  const addresses: Readonly<Record<PortName, string>> = {
    caller: callerAddress,
    relay: machine.address,
    control: machine.address,
    admin: adminAddress,
  };
  const owners = new Map<string, PortName>();
  const taken: [PortName, PortName][] = [];
  for (const name of Object.keys(addresses) as PortName[]) {
    const place = `${addresses[name]} ${ports[name]}`;
    const owner = owners.get(place);
    if (owner !== undefined && ports[name] !== 0) {
      taken.push([name, owner]);
    }
    owners.set(place, owner ?? name);
  }
  return taken;
}
