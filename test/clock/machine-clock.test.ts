/**
 * The node's clock when the machine is suspended and when its clocks are set. Guards against relying on the
 * monotonic clock alone: after seconds of suspension, stale state appears fresh, and requests whose callers have left
 * still have all of their time before the deadline.
 */
import { expect } from 'chai';
import { MachineClock } from '../../src/clock/machine-clock.js';
import { SuspensionAwareTimers } from '../../src/clock/suspension-aware-timers.js';

/** Simulated clocks of a machine, advanced by the test. */
class FakeMachine {
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
  const cases: readonly [name: string, act: (machine: FakeMachine) => void, expectedMs: number][] =
    [
      ['counts the time in which the machine runs', (machine) => machine.run(70), 70],
      ['counts a suspension', (machine) => machine.suspend(4_000), 4_000],
      ['counts a short suspension', (machine) => machine.suspend(300), 300],
      [
        'counts several suspensions and the time between them',
        (machine) => {
          machine.suspend(2_000);
          machine.clock.now();
          machine.run(500);
          machine.suspend(3_000);
        },
        5_500,
      ],
      ['ignores a wall clock that is set forward', (machine) => (machine.wallMs += 4_000), 0],
      ['ignores a wall clock that is set back', (machine) => (machine.wallMs -= 4_000), 0],
      [
        'counts a suspension after the wall clock was set',
        (machine) => {
          machine.wallMs -= 60_000;
          machine.clock.now();
          machine.run(1_000);
          machine.suspend(2_000);
        },
        3_000,
      ],
      [
        'tolerates a coarse time since boot',
        (machine) => {
          machine.suspend(4_000);
          machine.bootMs = Math.floor(machine.bootMs / 10) * 10 - 10;
        },
        3_990,
      ],
      ['ignores an advance of the time since boot alone', (one) => (one.bootMs += 9_000), 0],
    ];
  for (const [name, act, expectedMs] of cases) {
    it(name, () => {
      const machine = new FakeMachine();
      const beforeMs = machine.clock.now();
      act(machine);
      expect(machine.clock.now() - beforeMs).to.be.closeTo(expectedMs, 1e-6);
      expect(machine.clock.now() - beforeMs).to.be.closeTo(expectedMs, 1e-6);
    });
  }

  it('ignores a time since boot that runs at a different rate when the wall clock is set', () => {
    const machine = new FakeMachine();
    machine.run(10_000);
    machine.bootMs -= 7_000;
    machine.wallMs += 2_000;
    const beforeMs = machine.monotonicMs;
    expect(machine.clock.now()).to.equal(beforeMs);
  });
});

describe('suspension-aware timers', () => {
  it('fire by the time that includes suspensions', async () => {
    const machine = new FakeMachine();
    const timers = new SuspensionAwareTimers(() => machine.clock.now());
    machine.clock.onSuspension(() => timers.reschedule());
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
