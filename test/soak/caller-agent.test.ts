/** Guards against callers of the soak that take up connections which have rested for longer than callers may. */
import type http from 'node:http';
import { expect } from 'chai';
import { callerAgent } from '../../tools/soak/caller-agent.js';
import { SOAK_TERMS } from '../../tools/soak/soak-terms.js';

describe('the connections that callers of the soak keep', () => {
  it('rest for four fifths of the idle time at most', () => {
    const { options } = callerAgent() as unknown as { options: http.AgentOptions };
    expect([options.keepAlive, options.timeout]).to.deep.equal([
      true,
      SOAK_TERMS.idleTimeoutMs * 0.8,
    ]);
  });
});
