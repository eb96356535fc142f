/**
 * Settings of a node: schema, defaults and limits. Settings whose names end in `Ms` are in milliseconds, those
 * whose names end in `Bytes` are in bytes. Unknown names are rejected.
 */
import { z } from 'zod';
import { nameSchema } from '../model/resource.js';
import { MAX_VOTERS } from '../replication/voter-configuration.js';

/** Minimum length of the fleet key and the admin token, in characters. */
export const MIN_KEY_LENGTH = 16;
/** Maximum length of the fleet key and the admin token, in characters. */
export const MAX_KEY_LENGTH = 1_024;
/** Maximum of all intervals, in milliseconds. */
const MAX_INTERVAL_MS = 3_600_000;
/** Maximum of all sizes, in bytes. */
const MAX_SIZE_BYTES = 1_073_741_824;
/** Maximum of all counts. */
const MAX_COUNT = 1_000_000;

const intervalMs = z.number().int().min(1).max(MAX_INTERVAL_MS);
const sizeBytes = z.number().int().min(1_024).max(MAX_SIZE_BYTES);
const count = z.number().int().min(1).max(MAX_COUNT);
const ipAddress = z.union([z.ipv4(), z.ipv6()], { error: 'expected an IP number' });
const httpUrl = z.url({ protocol: /^https?$/, error: 'expected an http or https URL' });
const key = z.string().min(MIN_KEY_LENGTH).max(MAX_KEY_LENGTH);

/** A port to listen on; 0 means any free port. */
const listenPort = z.number().int().min(0).max(65_535);
const remotePort = z.number().int().min(1).max(65_535);

/** Identity and location of this node. */
const machineSettingsSchema = z.strictObject({
  /** Identity of the machine, as on the platform's machine list. */
  id: nameSchema,
  /** IP address at which other nodes reach this one. */
  address: ipAddress,
  zone: nameSchema,
  region: nameSchema,
});

/** Ports of the four listeners. */
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
 * Certificates for TLS between nodes. Each is PEM text, or the path of a PEM file relative to the settings
 * file. PEM files are read once at start.
 */
const tlsSettingsSchema = z.strictObject({
  certificatePem: z.string().min(1),
  /** Private key of the certificate; a secret. */
  keyPem: z.string().min(1),
  /** Certificate of the authority that signed the certificates of all nodes. */
  authorityPem: z.string().min(1),
});

export type TlsSettings = z.infer<typeof tlsSettingsSchema>;

/** A peer to dial before the machine list is known. */
const seedSchema = z.strictObject({ address: ipAddress, controlPort: remotePort });

/** How the platform is polled. */
const platformSettingsSchema = z.strictObject({
  /** URL of the configuration source's document. */
  configurationUrl: httpUrl,
  /** URL of the platform's machine list, which may be out of date. */
  machinesUrl: httpUrl,
  /** Time between two requests by a node that holds a reader lease. */
  pollIntervalMs: intervalMs.default(500),
  /** Timeout of a request. */
  requestTimeoutMs: intervalMs.default(2_000),
});

/** The overlay network of links between nodes. */
const overlaySettingsSchema = z
  .strictObject({
    /** Number of links that this node dials and maintains. */
    neighbours: z.number().int().min(1).max(64).default(4),
    /** Maximum number of links that this node accepts. */
    maxInbound: z.number().int().min(1).max(1_024).default(16),
    /** Time between two heartbeats on a link. */
    heartbeatIntervalMs: intervalMs.default(2_000),
    /** Time without a message after which a neighbour is suspected. */
    suspectAfterMs: intervalMs.default(5_000),
    /** Time without a message after which a neighbour is considered dead. */
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

/** Limits on callers' requests. */
const proxySettingsSchema = z.strictObject({
  /** Maximum size of the request line and headers. */
  maxHeaderBytes: sizeBytes.max(1_048_576).default(16_384),
  /** Maximum size of a request body. */
  maxBodyBytes: sizeBytes.default(16_777_216),
  /** Maximum number of requests in flight on this node. */
  maxPendingRequests: count.default(4_096),
  maxWaitingRequests: z.number().int().min(0).max(MAX_COUNT).default(0),
  /** Time that requests in flight have to finish during a graceful shutdown. */
  drainTimeoutMs: intervalMs.default(30_000),
});

/** Limits on the resource API. */
const apiSettingsSchema = z.strictObject({
  /** Maximum size of the body of a write. */
  maxBodyBytes: sizeBytes.default(65_536),
  /** Maximum number of concurrent watches. */
  maxWatchers: count.default(64),
  /** Maximum number of changes buffered for watches; a watch that falls further behind is closed. */
  watchHistoryEvents: count.default(10_000),
  /** Maximum total size of the buffered changes. */
  watchHistoryBytes: sizeBytes.default(16_777_216),
  /** Time that a write waits for its outcome; longer than the timeout of the replication itself. */
  writeTimeoutMs: intervalMs.default(12_000),
});

/** Replication of operators' writes. */
const writesSettingsSchema = z
  .strictObject({
    /**
     * Machines that form the first group of voters of a fleet without stored data. The list must be the same on
     * every node, and must be kept up to date as machines are replaced. If empty, the fleet accepts no writes.
     */
    initialVoters: z.array(nameSchema).max(MAX_VOTERS).default([]),
    /** Desired number of voters; a lost voter is replaced by a live machine. */
    voterCount: z.number().int().min(1).max(MAX_VOTERS).default(5),
  })
  .refine((writes) => new Set(writes.initialVoters).size === writes.initialVoters.length, {
    path: ['initialVoters'],
    error: 'expected no duplicate machines',
  });

/** Claims on idempotency keys. */
const claimsSettingsSchema = z.strictObject({
  /**
   * Whether a fleet whose claim holders are all new grants claims immediately. Otherwise it grants none for
   * five minutes, because a key may have been used before all holders were lost.
   */
  openWhenAllAreNew: z.boolean().default(false),
  /**
   * Number of groups into which machines and keys are partitioned, each with five holders. Must be the same on
   * every node. A group should have at least ten machines. Changing the number is equivalent to losing all claims.
   */
  groups: z.number().int().min(1).max(1_000).default(1),
});

const logSettingsSchema = z.strictObject({
  level: z.enum(['error', 'warn', 'info', 'debug']).default('info'),
});

const settingsObjectSchema = z.strictObject({
  machine: machineSettingsSchema,
  ports: portSettingsSchema.prefault({}),
  /** IP address of the caller listener; defaults to `machine.address`. */
  callerAddress: ipAddress.optional(),
  /** IP address of the admin listener; defaults to `machine.address`. */
  adminAddress: ipAddress.optional(),
  /** Shared secret of all nodes of the fleet; peers without it are sent no data. */
  fleetKey: key,
  /**
   * Secret that operators send as a bearer token. If absent, the resource API can be read without a token and
   * rejects all writes.
   */
  adminToken: key.optional(),
  /** TLS between nodes; if absent, plain TCP is used. */
  tls: tlsSettingsSchema.optional(),
  /**
   * Peers to dial before the machine list is known. They also elect the reader of a fleet without a machine
   * list. All nodes must have the same seeds, including the seeds themselves.
   */
  seeds: z.array(seedSchema).max(64).default([]),
  /** The platform; a node without it receives all data from its peers. */
  platform: platformSettingsSchema.optional(),
  /**
   * Maximum number of platform readers by zone; must be the same on every node. The platform must be able to
   * serve their sum plus one: an additional reader is active when a zone's electors are lost.
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

/** Schema of a settings file; `z.input` is the type of the file's content. */
export const settingsSchema = settingsObjectSchema.superRefine((settings, context) => {
  for (const [path, otherPort] of findPortConflicts(completeSettings(settings))) {
    const message = `expected a port that is not ports.${otherPort} on the same address`;
    context.addIssue({ code: 'custom', path: ['ports', path], message });
  }
});

/** Output of the schema, before addresses are filled in. */
export type ParsedSettings = z.infer<typeof settingsObjectSchema>;

/** Validated, complete and immutable settings of a node. */
export type Settings = Readonly<ParsedSettings> & {
  readonly callerAddress: string;
  readonly adminAddress: string;
};

/** Fills in settings that default to the value of another one. */
export function completeSettings(parsed: ParsedSettings): Settings {
  return {
    ...parsed,
    callerAddress: parsed.callerAddress ?? parsed.machine.address,
    adminAddress: parsed.adminAddress ?? parsed.machine.address,
  };
}

type PortName = keyof ParsedSettings['ports'];

/** Returns pairs of a listener and an earlier one with the same address and port. */
function findPortConflicts({
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
  const conflicts: [PortName, PortName][] = [];
  for (const name of Object.keys(addresses) as PortName[]) {
    const socketAddress = `${addresses[name]} ${ports[name]}`;
    const owner = owners.get(socketAddress);
    if (owner !== undefined && ports[name] !== 0) {
      conflicts.push([name, owner]);
    }
    owners.set(socketAddress, owner ?? name);
  }
  return conflicts;
}
