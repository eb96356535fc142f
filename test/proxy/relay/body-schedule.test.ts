/** Guards against bodies that wait for everything that was queued before them on their connection. */
import { expect } from 'chai';
import { BodySchedule } from '../../../src/proxy/relay/body-schedule.js';

const FRAME_BYTES = 16 * 1024;

describe('the schedule of body frames', () => {
  let schedule: BodySchedule;

  beforeEach(() => {
    schedule = new BodySchedule();
  });

  function enqueue(streamId: number, frameCount: number): void {
    for (let part = 0; part < frameCount; part += 1) {
      schedule.enqueue(streamId, Buffer.alloc(FRAME_BYTES, streamId));
    }
  }

  /** The streams of the queued frames, in the order in which they are sent. */
  function sentStreams(): (number | undefined)[] {
    const streams: (number | undefined)[] = [];
    for (let frame = schedule.next(); frame !== undefined; frame = schedule.next()) {
      streams.push(frame[0]);
    }
    return streams;
  }

  it('sends one frame of each stream in turn', () => {
    enqueue(1, 4);
    enqueue(2, 2);
    enqueue(3, 1);
    expect(sentStreams()).to.deep.equal([1, 2, 3, 1, 2, 1, 1]);
    expect(schedule.isEmpty).to.equal(true);
  });

  it('lets an answer of two frames wait for one frame of a large one before each of its own', () => {
    enqueue(1, 33);
    schedule.next();
    enqueue(2, 2);
    expect(sentStreams().slice(0, 4)).to.deep.equal([1, 2, 1, 2]);
  });

  it('keeps the order of the frames of a stream', () => {
    schedule.enqueue(1, Buffer.from('a'));
    schedule.enqueue(2, Buffer.from('x'));
    schedule.enqueue(1, Buffer.from('b'));
    schedule.enqueue(1, Buffer.from('c'));
    const sent = Array.from({ length: 4 }, () => schedule.next()?.toString());
    expect(sent).to.deep.equal(['a', 'x', 'b', 'c']);
  });

  it('gives a stream that comes back its turn after the others', () => {
    enqueue(1, 1);
    enqueue(2, 2);
    schedule.next();
    enqueue(1, 1);
    expect(sentStreams()).to.deep.equal([2, 1, 2]);
  });
});
