/** Finds the route of a request: the longest path prefix has precedence, then a named host, then a method. */
import type { Route } from '../model/resource.js';
import { DEFAULT_REQUEST_TIMEOUT_MS } from '../model/resource-key.js';
import type { Snapshot } from '../model/snapshot.js';

const REPEATABLE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** The properties that a route assigns to a request. */
export interface RouteMatch {
  readonly route: Route;
  readonly service: string;
  /** Whether the request may be executed more than once. */
  readonly repeatable: boolean;
  readonly timeoutMs: number;
  /** Maximum number of retries, as a percentage of first attempts. */
  readonly retryBudgetPercent: number;
}

/** The routes of one configuration, by path prefix and, within one prefix, the most specific first. */
export class RouteTable {
  private readonly routesByPrefix = new Map<string, Route[]>();
  private readonly services: Snapshot['services'];

  constructor({ routes, services }: Pick<Snapshot, 'routes' | 'services'>) {
    this.services = services;
    for (const route of [...routes].sort(compareSpecificity)) {
      const { pathPrefix } = route.spec;
      const samePrefix = this.routesByPrefix.get(pathPrefix);
      if (samePrefix === undefined) {
        this.routesByPrefix.set(pathPrefix, [route]);
      } else {
        samePrefix.push(route);
      }
    }
  }

  /**
   * `host` may include a port; `path` has no query. `chooseTarget` selects the service that receives the request
   * when a route has several targets.
   */
  match(
    host: string,
    path: string,
    method: string,
    chooseTarget: (route: Route) => string = ({ spec }) => spec.service,
  ): RouteMatch | undefined {
    const hostName = withoutPort(host);
    for (let prefix = path; prefix !== ''; prefix = nextPrefix(prefix)) {
      const routes = this.routesByPrefix.get(prefix);
      const route = routes?.find(
        ({ spec }) =>
          (spec.hosts.length === 0 || spec.hosts.includes(hostName)) &&
          (spec.methods.length === 0 || spec.methods.includes(method)),
      );
      if (route !== undefined) {
        return this.describe(route, method, chooseTarget(route));
      }
    }
    return undefined;
  }

  private describe(route: Route, method: string, serviceName: string): RouteMatch {
    const { spec } = route;
    const service = this.services.get(serviceName)?.spec;
    return {
      route,
      service: serviceName,
      repeatable: spec.repeatable ?? REPEATABLE_METHODS.has(method),
      timeoutMs: spec.timeoutMs ?? service?.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS,
      retryBudgetPercent: service?.retryBudgetPercent ?? 0,
    };
  }
}

/** Caches the table of a list of routes; snapshots that differ only in endpoints share it. */
export class RouteTableCache {
  private readonly tables = new WeakMap<readonly Route[], RouteTable>();

  tableOf(snapshot: Snapshot): RouteTable {
    let table = this.tables.get(snapshot.routes);
    if (table === undefined) {
      table = new RouteTable(snapshot);
      this.tables.set(snapshot.routes, table);
    }
    return table;
  }
}

/**
 * The next shorter prefix that ends at a segment boundary, with or without the slash: for `/a/b`, these are `/a/`,
 * `/a` and `/`. Empty when there is none.
 */
function nextPrefix(prefix: string): string {
  return prefix.endsWith('/') ? prefix.slice(0, -1) : prefix.slice(0, prefix.lastIndexOf('/') + 1);
}

function withoutPort(host: string): string {
  const match = /^(\[[^\]]*\]|[^:]*)(:[0-9]*)?$/.exec(host);
  return (match?.[1] ?? host).toLowerCase();
}

function compareSpecificity(left: Route, right: Route): number {
  const byHost = Number(left.spec.hosts.length === 0) - Number(right.spec.hosts.length === 0);
  if (byHost !== 0) {
    return byHost;
  }
  const byMethod = Number(left.spec.methods.length === 0) - Number(right.spec.methods.length === 0);
  return byMethod !== 0 ? byMethod : left.name < right.name ? -1 : 1;
}
