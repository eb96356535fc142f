/** Which endpoint resources represent the same start of an endpoint. */
import { expect } from 'chai';
import { incarnationOf, startedBefore } from '../../src/model/incarnation.js';
import { resourceSchema, type Endpoint } from '../../src/model/resource.js';
import { echoEndpoint } from '../proxy/rig.js';

function endpoint(spec: Record<string, unknown> = {}, name = 'e1', port = 1): Endpoint {
  return resourceSchema.parse(echoEndpoint(name, port, spec)) as Endpoint;
}

describe('incarnations of an endpoint', () => {
  const same = [
    { field: 'its state', spec: { bornAtMs: 7, state: 'draining' } },
    { field: 'its slots', spec: { bornAtMs: 7, slots: 3 } },
  ];
  for (const { field, spec } of same) {
    it(`are the same when ${field} changes`, () => {
      expect(incarnationOf(endpoint(spec))).to.equal(incarnationOf(endpoint({ bornAtMs: 7 })));
    });
  }

  const others = [
    { difference: 'a different start time', one: endpoint({ bornAtMs: 8 }) },
    { difference: 'no start time', one: endpoint() },
    { difference: 'a different name', one: endpoint({ bornAtMs: 7 }, 'e2') },
    { difference: 'a different port', one: endpoint({ bornAtMs: 7 }, 'e1', 2) },
    { difference: 'a different address', one: endpoint({ bornAtMs: 7, address: '127.0.0.2' }) },
  ];
  for (const { difference, one } of others) {
    it(`differ with ${difference}`, () => {
      expect(incarnationOf(one)).to.not.equal(incarnationOf(endpoint({ bornAtMs: 7 })));
    });
  }

  it('are ordered if both start times are known', () => {
    const [early, late, unspecified] = [
      endpoint({ bornAtMs: 7 }),
      endpoint({ bornAtMs: 8 }),
      endpoint(),
    ];
    expect(startedBefore(early, late)).to.equal(true);
    expect([startedBefore(late, early), startedBefore(early, early)]).to.deep.equal([false, false]);
    expect([startedBefore(unspecified, late), startedBefore(late, unspecified)]).to.deep.equal([
      false,
      false,
    ]);
  });
});
