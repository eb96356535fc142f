/** Faults of routes that show only when they are compared, or as a whole. Pure. */
import { InvalidConfigurationError, type ConfigurationFault } from './configuration-error.js';
import type { Route } from './resource.js';
import { resourceKey } from './resource-key.js';

/** Stands for every host, or every method. */
const ANY = '*';

/** Throws {@link InvalidConfigurationError} with every fault of {@link findRouteFaults}. */
export function requireConsistentRoutes(routes: readonly Route[]): void {
  const faults = findRouteFaults(routes);
  if (faults.length > 0) {
    throw new InvalidConfigurationError(faults);
  }
}

/**
 * Returns a fault for each route that contradicts an earlier one: both match the same requests with the same precedence
 * and handle them differently. Also for each route whose targets have no weight, since it could serve nothing.
 */
export function findRouteFaults(routes: readonly Route[]): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  const routesByMatch = new Map<string, Route>();
  for (const route of routes) {
    if (route.spec.targets?.every(({ weight }) => weight === 0) === true) {
      faults.push({ path: resourceKey(route), reason: 'expected a target with a weight above 0' });
    }
    const contradicted = addMatches(routesByMatch, route);
    if (contradicted !== undefined) {
      const reason = `matches the same requests as ${resourceKey(contradicted)}`;
      faults.push({ path: resourceKey(route), reason });
    }
  }
  return faults;
}

/** Adds each combination of host, path and method that the route names; returns a route that it contradicts. */
function addMatches(routesByMatch: Map<string, Route>, route: Route): Route | undefined {
  const { hosts, methods, pathPrefix } = route.spec;
  let contradicted: Route | undefined;
  for (const host of hosts.length === 0 ? [ANY] : hosts) {
    for (const method of methods.length === 0 ? [ANY] : methods) {
      const match = `${method} ${host} ${pathPrefix}`;
      const other = routesByMatch.get(match);
      if (other === undefined) {
        routesByMatch.set(match, route);
      } else if (handlingOf(other) !== handlingOf(route)) {
        contradicted ??= other;
      }
    }
  }
  return contradicted;
}

/** What a route does with a request that it matches. */
function handlingOf({ spec }: Route): string {
  return JSON.stringify({ ...spec, hosts: [], methods: [] });
}
