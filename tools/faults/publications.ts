/** What a run publishes at the platform: good versions, bad ones, older ones again. */
import type { Fleet } from '../demo/fleet.js';
import { extraRoutePath, sourceDocument } from '../demo/fleet-plan.js';
import type { Publication } from '../../standins/platform/control-commands.js';
import type { BadVersionKind } from './fault-action.js';

/** Routes added to the deployment's own vary up to this number, to make changes. */
const MAX_EXTRA_ROUTES = 40;

/** Versions published so far; each number is used once. */
export class Publications {
  readonly badVersions: number[] = [];
  private newest = 1;
  private isNewestBad = false;
  /** Good versions that the platform remembers. */
  private remembered: number[] = [1];

  constructor(private readonly fleet: Fleet) {}

  /** The newest number given out. */
  get newestVersion(): number {
    return this.newest;
  }

  /** Publishes a good version; gives its number. */
  async publish(extraRoutes = this.newest % MAX_EXTRA_ROUTES): Promise<number> {
    const version = this.take(false);
    await this.fleet.publish(version, extraRoutes);
    this.remembered.push(version);
    return version;
  }

  /** Publishes a good version with a route that none before it had; gives the route's path. */
  async publishNewRoute(): Promise<string> {
    await this.publish(MAX_EXTRA_ROUTES + 1);
    return extraRoutePath(MAX_EXTRA_ROUTES);
  }

  /** Publishes a version that must be refused whole; gives its number. */
  async publishBad(kind: BadVersionKind): Promise<number> {
    const version = this.take(true);
    this.badVersions.push(version);
    await this.fleet.publishPublication(this.badPublication(kind, version));
    return version;
  }

  /** An older good version that the platform can serve; undefined when there is none. */
  olderVersion(): number | undefined {
    return this.remembered.at(-3) ?? this.remembered.at(-2);
  }

  /** The platform forgets its versions, and serves the newest document, a good one, as version 1. */
  async restartPlatformFromZero(): Promise<void> {
    if (this.isNewestBad) {
      await this.publish();
    }
    await this.fleet.restartPlatformFromZero();
    this.remembered = [1];
  }

  private take(isBad: boolean): number {
    this.isNewestBad = isBad;
    this.newest += 1;
    return this.newest;
  }

  private badPublication(kind: BadVersionKind, version: number): Publication {
    const { plan, backends } = this.fleet;
    switch (kind) {
      case 'not-json':
        return { raw: `{"version": ${version}, "resources": [`, version };
      case 'malformed':
        return { document: { version, resources: 'none' } };
      case 'dangling-route': {
        const { resources } = sourceDocument(plan, version, backends.ports, 0);
        const spec = { hosts: [], pathPrefix: '/x', methods: [], service: 'no-such-service' };
        const document = { version, resources: [...resources, { kind: 'route', name: 'x', spec }] };
        return { document };
      }
    }
  }
}
