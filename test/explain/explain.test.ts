/** From a request's id to its cause, out of logs that are interleaved, cut off and of skewed clocks. */
import { expect } from 'chai';
import { explainCommand } from '../../src/cli/commands/explain.js';
import { ExitCode } from '../../src/cli/exit-code.js';
import { readLog } from '../../src/explain/log-entry.js';
import { tellStory } from '../../src/explain/request-story.js';
import { storyText } from '../../src/explain/story-text.js';
import { runCommand, temporaryFiles } from '../cli/cli-fixture.js';

function line(machine: string, time: string, event: string, fields: object = {}): string {
  return JSON.stringify({
    machine,
    ...fields,
    time: `2026-01-01T00:00:${time}Z`,
    level: 'info',
    event,
  });
}

/** The caller's node is five seconds ahead of the other one. */
const CALLER_LOG = [
  line('caller', '05.000', 'configuration-in-force', { number: 7 }),
  line('caller', '05.100', 'attempt-failed', { request: 'id1', attempt: 1, code: 'OVERLOADED' }),
  line('caller', '05.150', 'store-lost', { reason: 'status 503' }),
  line('caller', '05.200', 'peer-silent', { peer: '10.0.0.9' }),
  line('caller', '05.300', 'attempt-failed', {
    request: 'id1',
    attempt: 2,
    code: 'CONNECTION_LOST',
  }),
  line('caller', '05.301', 'request-failed', { request: 'id1', code: 'CONNECTION_LOST' }),
  line('caller', '05.302', 'request-failed', { request: 'id10', code: 'ROUTE_NOT_FOUND' }),
];
const ENDPOINT_LOG = [
  line('endpoint', '00.090', 'attempt-refused', { request: 'id1/m-1.1', code: 'queue-full' }),
  line('endpoint', '00.290', 'endpoint-failed', { request: 'id1/m-1.2', code: 'CONNECTION_LOST' }),
];

function eventsOf(text: string, requestId = 'id1'): string[] {
  return tellStory(readLog(text).entries, requestId).map(({ entry }) => entry.event);
}

const EXPECTED = [
  'attempt-refused',
  'attempt-failed',
  'endpoint-failed',
  'attempt-failed',
  'request-failed',
];

describe('explaining a request', () => {
  const orders = {
    'one file after the other': [...CALLER_LOG, ...ENDPOINT_LOG],
    'the other way round': [...ENDPOINT_LOG, ...CALLER_LOG],
    interleaved: CALLER_LOG.flatMap((text, index) => [
      text,
      ...ENDPOINT_LOG.slice(index, index + 1),
    ]),
  };
  for (const [name, lines] of Object.entries(orders)) {
    it(`puts the steps in order: ${name}`, () => {
      expect(eventsOf(lines.join('\n'))).to.deep.equal(EXPECTED);
    });
  }

  it('tells which sign cast doubt on an attempt, how old it was, what followed and what ended the run', () => {
    const caller = [
      line('caller', '05.400', 'attempt-suspected', {
        request: 'id2',
        attempt: 1,
        silent: 'connection',
        quietMs: 338,
        next: 'hedge',
      }),
      line('caller', '05.410', 'attempt-failed', {
        request: 'id2',
        attempt: 2,
        code: 'UNREACHABLE',
      }),
      line('caller', '05.900', 'attempt-cancelled', { request: 'id2', attempt: 1 }),
      line('caller', '05.901', 'request-failed', { request: 'id2', code: 'TIMED_OUT' }),
    ];
    const endpoint = line('endpoint', '00.905', 'attempt-abandoned', {
      request: 'id2/m-1.1',
      cause: 'cancelled',
    });
    const text = [...caller, endpoint].join('\n');
    expect(eventsOf(text, 'id2')).to.deep.equal([
      'attempt-abandoned',
      'attempt-suspected',
      'attempt-cancelled',
      'attempt-failed',
      'request-failed',
    ]);
    const story = storyText('id2', tellStory(readLog(text).entries, 'id2'), 0);
    expect(story).to.include('silent=connection quietMs=338 next=hedge');
    expect(story).to.include('cause=cancelled');
  });

  it('counts lines that it can not read, and reads on', () => {
    const cut = (CALLER_LOG[1] ?? '').slice(0, 40);
    const { entries, skippedLines } = readLog(
      ['noise', cut, ...ENDPOINT_LOG, '{"a":1}'].join('\n'),
    );
    expect(skippedLines).to.equal(3);
    expect(entries).to.have.length(2);
  });

  it('reads lines that a collector has put something in front of', () => {
    const collected = ENDPOINT_LOG.map((text) => `  3.01 endpoint ${text}`).join('\n');
    expect(readLog(collected).entries).to.have.length(2);
  });

  it('tells what the node believed at the time', () => {
    const steps = tellStory(readLog(CALLER_LOG.join('\n')).entries, 'id1');
    expect(steps[0]?.state).to.deep.include({ configuration: 7, isStoreReached: true });
    expect(steps[2]?.state).to.deep.include({
      isStoreReached: false,
      silentPeers: ['10.0.0.9'],
    });
  });

  it('tells which zones were evacuated, as far as the node knew', () => {
    const evacuated = (event: string, zone: string): string =>
      (CALLER_LOG[0] ?? '').replace(/"event":"[^"]*"/, `"event":"${event}","zone":"${zone}"`);
    const lines = [
      evacuated('zone-evacuated', 'z1'),
      evacuated('zone-evacuated', 'z2'),
      evacuated('zone-taken-back', 'z1'),
      ...CALLER_LOG,
    ];
    const steps = tellStory(readLog(lines.join('\n')).entries, 'id1');
    expect(steps[0]?.state.evacuatedZones).to.deep.equal(['z2']);
    expect(storyText('id1', steps, 0)).to.include('evacuated zones z2');
  });

  it('prints the story from files, and says when there is none', async () => {
    const files = temporaryFiles({
      'a.log': CALLER_LOG.join('\n'),
      'b.log': ENDPOINT_LOG.join('\n'),
    });
    const commands = new Map([['explain', explainCommand]]);
    const paths = [files.path('a.log'), files.path('b.log')];
    const found = await runCommand(commands, ['explain', 'id1', ...paths]);
    const missing = await runCommand(commands, ['explain', 'none', ...paths]);
    const unread = await runCommand(commands, ['explain', 'id1', files.path('c.log')]);
    files.remove();
    expect(found.output).to.include('endpoint attempt-refused').and.include('code=queue-full');
    expect([found.exitCode, missing.exitCode, unread.exitCode]).to.deep.equal([
      ExitCode.Success,
      ExitCode.NotFound,
      ExitCode.Usage,
    ]);
  });
});
