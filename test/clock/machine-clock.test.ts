/**
 * A clock against a machine that was suspended, and against clocks that were set. A node went by the
 * monotonic clock alone: after seconds of suspension its state was as fresh to it as before, and requests
 * whose callers had left had all of their time still before them.
 */
import { expect } from 'chai';
import { MachineClock } from '../../src/clock/machine-clock.js';
import { SuspendableTimers } from '../../src/clock/suspendable-timers.js';

/** The clocks of a machine, which are moved by hand. */
class Machine {
  monotonicMs = 5_000;
  wallMs = 1_000_000;
  bootMs = 90_000;
  readonly clock = new MachineClock({
    monotonic: () => this.monotonicMs,
    wall: () => this.wallMs,
    sinceBoot: () => this.bootMs,
  });

  run(ms: number): void {
    this.monotonicMs += ms;
    this.wallMs += ms;
    this.bootMs += ms;
  }

  suspend(ms: number): void {
    this.wallMs += ms;
    this.bootMs += ms;
  }
}

describe('the clock of a node', () => {
  const cases: readonly [name: string, act: (machine: Machine) => void, expectedMs: number][] = [
    ['counts the time in which it runs', (machine) => machine.run(70), 70],
    ['counts a suspension', (machine) => machine.suspend(4_000), 4_000],
    ['counts a short one', (machine) => machine.suspend(300), 300],
    [
      'counts several, and what lies between',
      (machine) => {
        machine.suspend(2_000);
        machine.clock.now();
        machine.run(500);
        machine.suspend(3_000);
      },
      5_500,
    ],
    ['is not moved by a clock that is set forward', (machine) => (machine.wallMs += 4_000), 0],
    ['nor by one that is set back', (machine) => (machine.wallMs -= 4_000), 0],
    [
      'counts a suspension after a clock was set',
      (machine) => {
        machine.wallMs -= 60_000;
        machine.clock.now();
        machine.run(1_000);
        machine.suspend(2_000);
      },
      3_000,
    ],
    [
      'takes coarse clocks for what they are',
      (machine) => {
        machine.suspend(4_000);
        machine.bootMs = Math.floor(machine.bootMs / 10) * 10 - 10;
      },
      3_990,
    ],
    [
      'does not believe a time since boot that goes on by itself',
      (one) => (one.bootMs += 9_000),
      0,
    ],
  ];
  for (const [name, act, expectedMs] of cases) {
    it(name, () => {
      const machine = new Machine();
      const beforeMs = machine.clock.now();
      act(machine);
      expect(machine.clock.now() - beforeMs).to.be.closeTo(expectedMs, 1e-6);
      expect(machine.clock.now() - beforeMs).to.be.closeTo(expectedMs, 1e-6);
    });
  }

  it('does not believe a time since boot that runs at another pace when the wall clock is set', () => {
    const machine = new Machine();
    machine.run(10_000);
    machine.bootMs -= 7_000;
    machine.wallMs += 2_000;
    const beforeMs = machine.monotonicMs;
    expect(machine.clock.now()).to.equal(beforeMs);
  });
});

describe('timers of a clock that counts suspensions', () => {
  it('fire by the time that has passed', async () => {
    const machine = new Machine();
    const timers = new SuspendableTimers(() => machine.clock.now());
    machine.clock.onSuspension(() => timers.setAnew());
    const fired: string[] = [];
    timers.schedule(60_000, () => fired.push('due'));
    timers.schedule(600_000, () => fired.push('later'));
    const cancel = timers.schedule(50_000, () => fired.push('cancelled'));
    cancel();
    machine.suspend(70_000);
    machine.clock.now();
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(fired).to.deep.equal(['due']);
    machine.suspend(600_000);
    machine.clock.now();
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(fired).to.deep.equal(['due', 'later']);
  });
});
