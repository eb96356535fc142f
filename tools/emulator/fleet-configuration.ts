/** Source documents of the size that a fleet of a given size has, and small changes to them. */
import type { RandomSource } from '../../src/control/control-event.js';

const ALPHABET = 'abcdefghijklmnopqrstuvwxyz0123456789';
const NAME_SUFFIX_LENGTH = 10;
const SECRET_LENGTH = 64;

/** How large a configuration is. */
export interface ConfigurationSize {
  readonly services: number;
  readonly routesPerService: number;
  readonly endpoints: number;
  readonly secrets: number;
}

/** A configuration that changes one endpoint at a time, as back ends drain and return. */
export class FleetConfiguration {
  private readonly draining = new Set<number>();
  /** Number of the newest document. */
  version = 1;

  /** Random text for names, addresses and secrets: real ones compress badly. */
  private readonly endpointNames: readonly string[];
  private readonly endpointHosts: readonly number[];
  private readonly secretValues: readonly string[];

  constructor(
    private readonly size: ConfigurationSize,
    private readonly random: RandomSource,
  ) {
    const endpoints = range(size.endpoints);
    this.endpointNames = endpoints.map(() => this.randomText(NAME_SUFFIX_LENGTH));
    this.endpointHosts = endpoints.map(() => Math.floor(random() * 0xffff));
    this.secretValues = range(size.secrets).map(() => this.randomText(SECRET_LENGTH));
  }

  /** Drains or returns one endpoint; a new version. */
  changeOneEndpoint(): void {
    const index = Math.floor(this.random() * this.size.endpoints);
    if (!this.draining.delete(index)) {
      this.draining.add(index);
    }
    this.version += 1;
  }

  /** Every resource of the newest version. */
  resources(): unknown[] {
    const { services, routesPerService, endpoints, secrets } = this.size;
    return [
      ...range(services).map(service),
      ...range(secrets).map((index) => this.secret(index)),
      ...range(services * routesPerService).map((index) => route(index, services, secrets)),
      ...range(endpoints).map((index) => this.endpoint(index)),
    ];
  }

  private randomText(length: number): string {
    return range(length)
      .map(() => ALPHABET.charAt(Math.floor(this.random() * ALPHABET.length)))
      .join('');
  }

  private secret(index: number): unknown {
    return { kind: 'secret', name: `secret-${index}`, spec: { value: this.secretValues[index] } };
  }

  private endpoint(index: number): unknown {
    const host = this.endpointHosts[index] ?? 0;
    const service = `service-${index % this.size.services}`;
    const spec = {
      service,
      address: `10.200.${host >> 8}.${host & 255}`,
      port: 8080,
      zone: `zone-${index % 4}`,
      region: 'region-0',
      machine: `machine-${this.endpointNames[index]}`,
      slots: 20,
      maxConnections: 130,
      state: this.draining.has(index) ? 'draining' : 'active',
    };
    return { kind: 'endpoint', name: `${service}-${this.endpointNames[index]}`, spec };
  }
}

function service(index: number): unknown {
  const spec = { requestTimeoutMs: 5_000, retryBudgetPercent: 20 };
  return { kind: 'service', name: `service-${index}`, spec };
}

function route(index: number, services: number, secrets: number): unknown {
  const credential = { secret: `secret-${index % secrets}`, header: 'authorization' };
  const spec = {
    hosts: ['maps.example.net'],
    pathPrefix: `/path-${index}`,
    methods: ['GET', 'POST'],
    service: `service-${index % services}`,
    repeatable: false,
    credential,
  };
  return { kind: 'route', name: `route-${index}`, spec };
}

function range(count: number): number[] {
  return Array.from({ length: count }, (_, index) => index);
}
