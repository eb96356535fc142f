import { expect } from 'chai';
import { createElapsedClock } from '../../src/runtime/elapsed-clock.js';

describe('runtime/elapsed-clock', () => {
  const cases = [
    { name: 'both clocks advance', monotonic: 10, wall: 10, expected: 10 },
    { name: 'the machine was suspended', monotonic: 0, wall: 9_000, expected: 9_000 },
    { name: 'the wall clock was set back', monotonic: 20, wall: -5_000, expected: 20 },
    { name: 'neither clock advances', monotonic: 0, wall: 0, expected: 0 },
    { name: 'the clocks differ by their resolution', monotonic: 0.2, wall: 1, expected: 0.2 },
  ];
  for (const { name, monotonic, wall, expected } of cases) {
    it(`advances by ${expected} ms when ${name}`, () => {
      let monotonicTime = 100;
      let wallTime = 1_000_000;
      const clock = createElapsedClock(
        () => monotonicTime,
        () => wallTime,
      );
      const before = clock();
      monotonicTime += monotonic;
      wallTime += wall;
      expect(clock() - before).to.be.closeTo(expected, 1e-6);
    });
  }
});
