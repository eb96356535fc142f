import { expect } from 'chai';
import { Emulator, type EmulatorOptions } from '../../tools/emulator/emulator.js';
import { DEFAULT_NETWORK } from '../../tools/emulator/emulated-network.js';
import { evenSites } from '../../tools/emulator/topology.js';
import { FloodingComponent } from './flooding-component.js';

const SERVICE = { kind: 'service', name: 'tiles', spec: {} };
const DANGLING_ROUTE = { kind: 'route', name: 'home', spec: { pathPrefix: '/', service: 'none' } };
const PLATFORM = { readerBound: 2 };
const MESSAGE_BYTES = 100;

class World {
  readonly components = new Map<string, FloodingComponent>();
  readonly emulator: Emulator;

  constructor(machines = 4, options: Partial<EmulatorOptions> = {}) {
    this.emulator = new Emulator({
      seed: 1,
      sites: evenSites(machines, 2, 1),
      factory: (context) => {
        const component = new FloodingComponent(context);
        this.components.set(context.identity.id, component);
        return component;
      },
      sizer: () => MESSAGE_BYTES,
      platform: PLATFORM,
      ...options,
    });
    this.emulator.machines.all.forEach((machine) => this.emulator.start(machine));
  }

  machine(index: number): Emulator['machines']['all'][number] {
    return this.emulator.machines.all[index] as Emulator['machines']['all'][number];
  }

  component(index: number): FloodingComponent {
    return this.components.get(`machine-${index}`) as FloodingComponent;
  }

  publish(number: number, resources: readonly unknown[] = [SERVICE]): void {
    this.emulator.platform.publishSource(number, resources);
  }

  heldNumbers(): number[] {
    return this.emulator
      .liveProcesses()
      .map((process) => process.component.heldDocuments().source.version.number);
  }

  eventTypes(index: number): string[] {
    return this.component(index).events.map(({ event }) => event.type);
  }

  count(index: number, type: string): number {
    return this.eventTypes(index).filter((one) => one === type).length;
  }
}

/** What a fault leaves of version 2 published while it lasts, and after it is undone. */
const FAULTS: readonly {
  fault: string;
  apply: (world: World) => void;
  during: readonly number[];
  undo: (world: World) => void;
  after: readonly number[];
}[] = [
  {
    fault: 'source outage (refusing)',
    apply: ({ emulator }) => (emulator.platform.mode = 'refusing'),
    during: [1, 1, 1, 1],
    undo: ({ emulator }) => (emulator.platform.mode = 'up'),
    after: [2, 2, 2, 2],
  },
  {
    fault: 'source outage (hanging)',
    apply: ({ emulator }) => (emulator.platform.mode = 'hanging'),
    during: [1, 1, 1, 1],
    undo: ({ emulator }) => (emulator.platform.mode = 'up'),
    after: [2, 2, 2, 2],
  },
  {
    fault: 'stale source',
    apply: ({ emulator }) => (emulator.platform.staleBy = 1),
    during: [1, 1, 1, 1],
    undo: ({ emulator }) => (emulator.platform.staleBy = 0),
    after: [2, 2, 2, 2],
  },
  {
    fault: 'cut of one machine',
    apply: ({ emulator }) =>
      emulator.topology.addCut({
        group: { by: 'id', names: ['machine-3'] },
        direction: 'both',
        withPlatform: false,
      }),
    during: [2, 2, 2, 1],
    undo: ({ emulator }) => emulator.heal(),
    after: [2, 2, 2, 2],
  },
  {
    fault: 'cut towards one machine',
    apply: ({ emulator }) =>
      emulator.topology.addCut({
        group: { by: 'id', names: ['machine-3'] },
        direction: 'inbound',
        withPlatform: false,
      }),
    during: [2, 2, 2, 1],
    undo: ({ emulator }) => emulator.heal(),
    after: [2, 2, 2, 2],
  },
  {
    fault: 'cut of the reader from the platform',
    apply: ({ emulator }) =>
      emulator.topology.addCut({
        group: { by: 'id', names: ['machine-0'] },
        direction: 'inbound',
        withPlatform: true,
      }),
    during: [1, 1, 1, 1],
    undo: ({ emulator }) => emulator.heal(),
    after: [2, 2, 2, 2],
  },
  {
    fault: 'freeze of one process',
    apply: (world) => world.emulator.freeze(world.machine(2)),
    during: [2, 2, 1, 1],
    undo: (world) => world.emulator.thaw(world.machine(2)),
    after: [2, 2, 2, 2],
  },
  {
    fault: 'death of one process',
    apply: (world) => world.emulator.kill(world.machine(1), false),
    during: [2, 1, 1],
    undo: (world) => world.emulator.start(world.machine(1)),
    after: [2, 2, 2, 2],
  },
];

describe('emulator', () => {
  FAULTS.forEach(({ fault, apply, during, undo, after }) => {
    it(`passes changes on before, during and after: ${fault}`, () => {
      const world = new World();
      world.publish(1);
      world.emulator.advance(5_000);
      expect(world.heldNumbers()).to.deep.equal([1, 1, 1, 1]);
      apply(world);
      world.publish(2, [SERVICE, { ...SERVICE, name: 'extracts' }]);
      world.emulator.advance(10_000);
      expect(world.heldNumbers()).to.deep.equal(during);
      undo(world);
      world.emulator.advance(20_000);
      expect(world.heldNumbers()).to.deep.equal(after);
    });
  });

  it('repeats a run exactly under one seed', () => {
    const run = (seed: number): string => {
      const world = new World(6, { seed });
      world.publish(1);
      world.emulator.advance(3_000);
      const times = world.component(5).events.map(({ event, nowMs }) => [event.type, nowMs]);
      return JSON.stringify(times);
    };
    expect(run(7)).to.equal(run(7));
    expect(run(7)).not.to.equal(run(8));
  });

  it('refuses a bad document as the adapter does', () => {
    const world = new World(1);
    world.publish(1, [DANGLING_ROUTE]);
    world.emulator.advance(2_000);
    const outcomes = world
      .component(0)
      .events.flatMap(({ event }) =>
        event.type === 'platform-answer' ? [event.answer.outcome] : [],
      );
    expect(outcomes).to.include('invalid');
    expect(world.heldNumbers()).to.deep.equal([0]);
  });

  it('hands a frozen process what waited, with a late time, when it wakes', () => {
    const world = new World(2);
    world.emulator.advance(2_000);
    world.emulator.freeze(world.machine(1));
    const before = world.component(1).events.length;
    world.publish(1);
    world.emulator.advance(30_000);
    expect(world.component(1).events).to.have.length(before);
    const lastSeenMs = world.component(1).events[before - 1]?.nowMs ?? 0;
    world.emulator.thaw(world.machine(1));
    const late = world.component(1).events.slice(before);
    expect(late.map(({ event }) => event.type)).to.have.include.members(['wake', 'message']);
    late.forEach(({ nowMs }) => expect(nowMs - lastSeenMs).to.be.greaterThan(29_000));
  });

  it('tells peers of a dead process, and not of a dead machine until a send goes unanswered', () => {
    const world = new World(2);
    world.emulator.advance(2_000);
    world.emulator.kill(world.machine(0), true);
    world.emulator.advance(10_000);
    expect(world.count(1, 'peer-down')).to.equal(0);
    world.emulator.advance(10_000);
    expect(world.count(1, 'peer-down')).to.equal(1);
    expect(world.count(1, 'dial-failed')).to.be.greaterThan(0);
    world.emulator.start(world.machine(0));
    world.emulator.advance(5_000);
    world.emulator.kill(world.machine(0), false);
    world.emulator.advance(1_000);
    expect(world.count(1, 'peer-down')).to.equal(2);
  });

  it('delivers what an acceptor sends as soon as its end of a link opens', () => {
    for (let seed = 0; seed < 20; seed += 1) {
      const world = new World(1, { seed, sites: evenSites(2, 2, 1) });
      world.publish(1);
      world.emulator.kill(world.machine(1), false);
      world.emulator.advance(3_000);
      world.emulator.start(world.machine(1));
      world.emulator.advance(3_000);
      expect(world.heldNumbers()).to.deep.equal([1, 1]);
      expect(world.count(0, 'peer-up')).to.equal(world.count(0, 'peer-down') + 1);
      expect(world.count(1, 'peer-down')).to.equal(0);
    }
  });

  it('keeps the order of one link, unless reordering is on', () => {
    const numbersSeen = (reorderChance: number): number[] => {
      const world = new World(2, { network: { ...DEFAULT_NETWORK, reorderChance } });
      world.emulator.advance(2_000);
      for (let number = 1; number <= 200; number += 1) {
        world.publish(number);
        world.emulator.advance(1_000 * (number % 2));
      }
      return world.component(1).events.flatMap(({ event }) => {
        const chunk = event.type === 'message' ? event.message : undefined;
        return chunk?.type === 'snapshot-chunk' ? [chunk.version.number] : [];
      });
    };
    const inOrder = numbersSeen(0);
    expect(inOrder).to.deep.equal([...inOrder].sort((left, right) => left - right));
    expect(inOrder.length).to.be.greaterThan(50);
  });

  it('counts bytes at both ends, and messages apart', () => {
    const world = new World(2);
    world.emulator.advance(1_500);
    world.emulator.meter.reset();
    world.publish(1);
    world.emulator.advance(1_200);
    expect(world.emulator.meter.byType()).to.have.deep.members([
      { type: 'snapshot-chunk', messages: 2, bytes: 2 * MESSAGE_BYTES },
      { type: 'heartbeat', messages: 2, bytes: 2 * MESSAGE_BYTES },
    ]);
    expect(world.emulator.meter.site(1).sentBytes).to.equal(2 * MESSAGE_BYTES);
    expect(world.emulator.meter.site(1).receivedBytes).to.equal(2 * MESSAGE_BYTES);
  });

  it('bounds and counts readers, without frozen and dead ones', () => {
    const world = new World(3, { platform: { readerBound: 1 } });
    const [first, second, third] = world.emulator.liveProcesses();
    const { platform } = world.emulator;
    if (first === undefined || second === undefined || third === undefined) {
      throw new Error('expected three processes');
    }
    expect(platform.admit(first)).to.equal(true);
    expect(platform.admit(second)).to.equal(false);
    expect(platform.refusedReads).to.equal(1);
    expect(platform.peakReaders).to.equal(2);
    platform.close(second);
    world.emulator.freeze(world.machine(0));
    expect(platform.admit(third)).to.equal(true);
    world.emulator.kill(world.machine(2), false);
    world.emulator.thaw(world.machine(0));
    expect(platform.countReaders()).to.equal(1);
  });
});
