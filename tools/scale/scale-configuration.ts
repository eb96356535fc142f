/** The source document of a fleet of the users' future shape, one endpoint changed at a time. */
import type { Machine } from '../../src/model/machine.js';
import type { Resource } from '../../src/model/resource.js';
import type { SourceDocument } from '../../src/model/source-document.js';
import type { CallTarget } from '../shared/call-client.js';
import { range, TARGET } from './scale-plan.js';

const ROUTES_PER_SERVICE = 2;
const SECRET_LENGTH = 64;
const ALPHABET = 'abcdefghijklmnopqrstuvwxyz0123456789';
const SLOTS = 20;
const MAX_CONNECTIONS = 130;
const HOLLOW_ENDPOINT_PORT = 9_000;
/** The service whose back ends are real; the others' endpoints have nobody behind them. */
export const SERVED_SERVICE = 'service-0';

/** Services of a fleet of `nodes`: 170 at 1,800, and never fewer than two. */
export function servicesFor(nodes: number): number {
  return Math.max(2, Math.round((TARGET.services * nodes) / TARGET.nodes));
}

/** One endpoint beside every node; the services, routes and secrets in proportion. */
export class ScaleConfiguration {
  /** Number of the newest document. */
  version = 1;
  private readonly services: number;
  private readonly secretValues: readonly string[];
  private readonly draining = new Set<number>();

  constructor(
    private readonly machines: readonly Machine[],
    /** Back ends that run, by machine id. */
    private readonly backends: ReadonlyMap<string, CallTarget>,
    private readonly random: () => number,
  ) {
    this.services = servicesFor(machines.length);
    this.secretValues = range(this.services).map(() => this.randomText());
  }

  /** Drains or returns one endpoint that has nobody behind it; a new version. */
  changeOneEndpoint(): void {
    const hollow = range(this.machines.length).filter((index) => !this.isServed(index));
    const index = hollow[Math.floor(this.random() * hollow.length)] ?? 0;
    if (!this.draining.delete(index)) {
      this.draining.add(index);
    }
    this.version += 1;
  }

  /** The newest document. */
  document(): SourceDocument {
    const services = range(this.services);
    return {
      version: this.version,
      resources: [
        ...services.map(serviceOf),
        ...services.map((index) => this.secretOf(index)),
        ...services.flatMap((service) =>
          range(ROUTES_PER_SERVICE).map((route) => routeOf(service, route)),
        ),
        ...this.machines.map((machine, index) => this.endpointOf(machine, index)),
      ],
    };
  }

  private isServed(index: number): boolean {
    return this.backends.has(this.machines[index]?.id ?? '');
  }

  private secretOf(index: number): Resource {
    const value = this.secretValues[index] ?? '';
    return { kind: 'secret', name: `secret-${index}`, spec: { value } };
  }

  private endpointOf(machine: Machine, index: number): Resource {
    const backend = this.backends.get(machine.id);
    const service =
      backend === undefined ? `service-${1 + (index % (this.services - 1))}` : SERVED_SERVICE;
    return {
      kind: 'endpoint',
      name: `${service}-${machine.id}`,
      spec: {
        service,
        address: backend?.host ?? machine.address,
        port: backend?.port ?? HOLLOW_ENDPOINT_PORT,
        zone: machine.zone,
        region: machine.region,
        machine: machine.id,
        slots: SLOTS,
        maxConnections: MAX_CONNECTIONS,
        state: this.draining.has(index) ? 'draining' : 'active',
      },
    };
  }

  private randomText(): string {
    return range(SECRET_LENGTH)
      .map(() => ALPHABET.charAt(Math.floor(this.random() * ALPHABET.length)))
      .join('');
  }
}

function serviceOf(index: number): Resource {
  const spec = { requestTimeoutMs: 5_000, retryBudgetPercent: 20 };
  return { kind: 'service', name: `service-${index}`, spec };
}

function routeOf(service: number, route: number): Resource {
  return {
    kind: 'route',
    name: `route-${service}-${route}`,
    spec: {
      hosts: [],
      pathPrefix: `/service-${service}${route === 0 ? '' : `/part-${route}`}`,
      methods: [],
      service: `service-${service}`,
      credential: { secret: `secret-${service}`, header: 'x-service-credential' },
    },
  };
}
