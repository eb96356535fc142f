/** Which entries of an endpoint speak of the same start of it. */
import { expect } from 'chai';
import { incarnationOf, startedBefore } from '../../src/model/incarnation.js';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { echoEndpoint } from '../proxy/rig.js';

function endpoint(spec: Record<string, unknown> = {}, name = 'e1', port = 1): Endpoint {
  return resourceSchema.parse(echoEndpoint(name, port, spec)) as Endpoint;
}

describe('incarnations of an endpoint', () => {
  const same = [
    { what: 'its state', spec: { bornAtMs: 7, state: 'draining' } },
    { what: 'its slots', spec: { bornAtMs: 7, slots: 3 } },
  ];
  for (const { what, spec } of same) {
    it(`are one where ${what} changes`, () => {
      expect(incarnationOf(endpoint(spec))).to.equal(incarnationOf(endpoint({ bornAtMs: 7 })));
    });
  }

  const others = [
    { what: 'another birth', one: endpoint({ bornAtMs: 8 }) },
    { what: 'no birth', one: endpoint() },
    { what: 'another name', one: endpoint({ bornAtMs: 7 }, 'e2') },
    { what: 'another port', one: endpoint({ bornAtMs: 7 }, 'e1', 2) },
    { what: 'another address', one: endpoint({ bornAtMs: 7, address: '127.0.0.2' }) },
  ];
  for (const { what, one } of others) {
    it(`are several with ${what}`, () => {
      expect(incarnationOf(one)).to.not.equal(incarnationOf(endpoint({ bornAtMs: 7 })));
    });
  }

  it('are in order where both are told', () => {
    const [early, late, untold] = [
      endpoint({ bornAtMs: 7 }),
      endpoint({ bornAtMs: 8 }),
      endpoint(),
    ];
    expect(startedBefore(early, late)).to.equal(true);
    expect([startedBefore(late, early), startedBefore(early, early)]).to.deep.equal([false, false]);
    expect([startedBefore(untold, late), startedBefore(late, untold)]).to.deep.equal([
      false,
      false,
    ]);
  });
});
