/** When messages over emulated links arrive, by their length and by what befalls the links. */
import { expect } from 'chai';
import { VirtualScheduler } from '../../tools/emulator/virtual-scheduler.js';
import { EmulatedLink } from '../../tools/experiment/emulated-link.js';

describe('an emulated link', () => {
  it('carries one message after the other, at the pace of the narrower side', () => {
    const clock = new VirtualScheduler();
    const arrivals: [string, number][] = [];
    const arrive = (name: string) => () => void arrivals.push([name, clock.nowMs]);
    const wide = new EmulatedLink(clock, 100);
    const narrow = new EmulatedLink(clock, 10);
    wide.carry(narrow, 200, arrive('first'));
    wide.carry(narrow, 100, arrive('second'));
    clock.runUntil(1_000);
    // 2 ms to leave, 0.5 ms on the way, 20 and 10 ms to arrive.
    expect(arrivals).to.deep.equal([
      ['first', 22.5],
      ['second', 32.5],
    ]);
    expect([wide.sentBytes, narrow.sentBytes]).to.deep.equal([300, 0]);
  });

  it('holds up what is sent or arrives while it is silent', () => {
    const clock = new VirtualScheduler();
    const arrivals: number[] = [];
    const arrive = (): void => void arrivals.push(clock.nowMs);
    const one = new EmulatedLink(clock, 100);
    const other = new EmulatedLink(clock, 100);
    other.silence(500);
    expect(other.isSilent()).to.equal(true);
    one.carry(other, 100, arrive);
    other.carry(one, 100, arrive);
    clock.runUntil(1_000);
    expect(arrivals).to.deep.equal([501, 502.5]);
    expect(other.isSilent()).to.equal(false);
  });
});
