/** Limits of the log: its rate under load, and its buffer when the reader does not read. */
import { spawn } from 'node:child_process';
import { expect } from 'chai';
import { BoundedLineSink } from '../../src/runtime/bounded-line-sink.js';
import { createLogger } from '../../src/runtime/logger.js';
import { RequestLogger } from '../../src/runtime/request-logger.js';

class LoggerFixture {
  nowMs = 0;
  readonly lines: Record<string, unknown>[] = [];
  readonly log = new RequestLogger(
    createLogger(
      'info',
      {},
      {
        write: (line) => this.lines.push(JSON.parse(line) as Record<string, unknown>),
      },
    ),
    () => this.nowMs,
  );

  record(times: number): void {
    for (let time = 0; time < times; time += 1) {
      this.log.record({ event: 'request-failed', request: `r${time}`, code: 'OVERLOADED' });
    }
  }
}

describe('request logger', () => {
  it('writes the fields of a decision', () => {
    const clock = new LoggerFixture();
    clock.record(1);
    expect(clock.lines[0]).to.deep.include({
      event: 'request-failed',
      request: 'r0',
      code: 'OVERLOADED',
    });
  });

  it('limits its rate and logs the number of dropped lines', () => {
    const clock = new LoggerFixture();
    clock.record(1_000);
    expect(clock.lines).to.have.length(400);
    clock.nowMs = 1_000;
    clock.record(1);
    expect(clock.lines.slice(400)).to.have.length(2);
    expect(clock.lines[400]).to.deep.include({ event: 'log-lines-dropped', lines: 600 });
  });
});

describe('request logger under sustained load', () => {
  it('stays within its rate, including reports of dropped lines', () => {
    const clock = new LoggerFixture();
    const seconds = 10;
    for (let tick = 0; tick < seconds * 100; tick += 1) {
      clock.nowMs += 10;
      clock.record(10);
    }
    expect(clock.lines.length).to.be.at.most(400 + seconds * 41);
  });
});

describe('bounded line sink', () => {
  it('drops lines while its reader does not read, and reports their number', () => {
    const written: string[] = [];
    const stream = { writableLength: 0, write: (text: string) => written.push(text) };
    const sink = new BoundedLineSink(stream, 100);
    sink.write('a\n');
    stream.writableLength = 101;
    sink.write('b\n');
    sink.write('c\n');
    stream.writableLength = 0;
    sink.write('d\n');
    expect(written[0]).to.equal('a\n');
    expect(JSON.parse(written[1] ?? '')).to.include({ event: 'log-lines-dropped', lines: 2 });
    expect(written[2]).to.equal('d\n');
  });

  it('does not block a process whose output is not read', async () => {
    const script = `
      import { BoundedLineSink } from ${JSON.stringify(new URL('../../src/runtime/bounded-line-sink.js', import.meta.url).href)};
      const sink = new BoundedLineSink(process.stdout);
      const line = 'x'.repeat(1_000) + '\\n';
      let rounds = 0;
      const timer = setInterval(() => {
        for (let index = 0; index < 100; index += 1) sink.write(line);
        rounds += 1;
        if (rounds === 30) { process.stderr.write('went on ' + (process.stdout.writableLength < 2_000_000)); process.exit(0); }
      }, 5);`;
    const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pause();
    let text = '';
    child.stderr.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    await new Promise((resolve) => child.once('exit', resolve));
    expect(text).to.equal('went on true');
  });
});
