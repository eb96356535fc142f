/** A zone that is cut off from its source and from all others for two hours of virtual time. */
import { expect } from 'chai';
import { encodedSize } from '../../src/wire/codec.js';
import { Emulator } from '../../tools/emulator/emulator.js';
import { evenShares, productFactory } from '../../tools/emulator/product-nodes.js';
import { evenSites } from '../../tools/emulator/topology.js';

const MACHINES = 12;
const ZONES = 3;
const CUT_ZONE = 'zone-1';
const MINUTE_MS = 60_000;
const CUT_MINUTES = 120;
const SECOND_VERSION_AT_MINUTE = 30;
const THIRD_VERSION_AT_MINUTE = 90;
/** Time in which a fleet that is whole holds what was published. */
const CONVERGENCE_MS = 45_000;

/** A fleet that watches every step for a version that fell. */
class World {
  readonly falls: string[] = [];
  private readonly heldBy = new Map<string, number>();
  readonly emulator = new Emulator({
    seed: 7,
    sites: evenSites(MACHINES, ZONES, 1),
    factory: productFactory(ZONES),
    sizer: encodedSize,
    platform: { readerBound: Object.keys(evenShares(ZONES)).length + 1 },
  });

  constructor() {
    this.emulator.onHandled = ({ component, site }) => {
      const { number } = component.heldDocuments().source.version;
      const before = this.heldBy.get(site.id) ?? 0;
      if (number < before) {
        this.falls.push(`${site.id}: ${before} to ${number}`);
      }
      this.heldBy.set(site.id, number);
    };
  }

  publish(number: number): void {
    const services = Array.from({ length: number }, (_, idx) => `service-${idx}`);
    const resources = services.map((name) => ({ kind: 'service', name, spec: {} }));
    this.emulator.platform.publishSource(number, resources);
  }

  /** Numbers held in the zone that is cut off, or in the others. */
  held(isCutZone: boolean): number[] {
    return this.emulator
      .liveProcesses()
      .filter(({ site }) => (site.zone === CUT_ZONE) === isCutZone)
      .map(({ component }) => component.heldDocuments().source.version.number);
  }
}

describe('a zone cut off for two hours', () => {
  it('keeps what it holds, and catches up after the heal without ever going back', () => {
    const world = new World();
    const { emulator } = world;
    world.publish(1);
    emulator.machines.all.forEach((machine) => emulator.start(machine));
    emulator.advance(CONVERGENCE_MS);
    expect([...new Set([...world.held(true), ...world.held(false)])]).to.deep.equal([1]);
    emulator.topology.addCut({
      group: { by: 'zone', names: [CUT_ZONE] },
      direction: 'both',
      withPlatform: true,
    });
    for (let minute = 1; minute <= CUT_MINUTES; minute += 1) {
      if (minute === SECOND_VERSION_AT_MINUTE || minute === THIRD_VERSION_AT_MINUTE) {
        world.publish(minute === SECOND_VERSION_AT_MINUTE ? 2 : 3);
      }
      emulator.advance(MINUTE_MS);
      expect(new Set(world.held(true)), `minute ${minute}`).to.deep.equal(new Set([1]));
    }
    expect(new Set(world.held(false))).to.deep.equal(new Set([3]));
    emulator.heal();
    emulator.advance(CONVERGENCE_MS);
    expect(world.held(true)).to.deep.equal(Array(MACHINES / ZONES).fill(3));
    expect(world.falls).to.deep.equal([]);
  });
});
