/** Evacuation resources and their effect on endpoints, for each way of creating a snapshot. */
import { expect } from 'chai';
import { isInService } from '../../src/model/evacuation.js';
import { resourceSchema, type Endpoint, type Resource } from '../../src/model/resource.js';
import {
  buildSnapshot,
  NO_SNAPSHOT_VERSION,
  withEndpoints,
  type Snapshot,
} from '../../src/model/snapshot.js';
import { trialEndpoints } from '../../src/routing/trial-endpoint.js';
import { echoEndpoint, echoService } from '../proxy/rig.js';

function parse(raw: readonly unknown[]): Resource[] {
  return raw.map((resource) => resourceSchema.parse(resource));
}

const ENDPOINTS = [
  echoEndpoint('e1', 1, { zone: 'z1' }),
  echoEndpoint('e2', 2, { zone: 'z2' }),
  echoEndpoint('e3', 3, { zone: 'z2', state: 'draining' }),
];

function evacuation(zone: string): unknown {
  return { kind: 'evacuation', name: zone, spec: {} };
}

function snapshotOf(...zones: readonly string[]): Snapshot {
  const raw = [...echoService(), ...ENDPOINTS, ...zones.map(evacuation)];
  return buildSnapshot(NO_SNAPSHOT_VERSION, parse(raw));
}

function namesInService({ endpointsByService }: Snapshot): string[] {
  const endpoints = endpointsByService.get('echo') ?? [];
  return endpoints.filter(isInService).map(({ name }) => name);
}

describe('zone evacuation', () => {
  it('keeps endpoints of other zones in service and draining endpoints draining', () => {
    expect(namesInService(snapshotOf())).to.deep.equal(['e1', 'e2']);
    expect(namesInService(snapshotOf('z1'))).to.deep.equal(['e2']);
    expect(namesInService(snapshotOf('z2'))).to.deep.equal(['e1']);
    expect(namesInService(snapshotOf('z1', 'z2'))).to.deep.equal([]);
    expect(namesInService(snapshotOf('z9'))).to.deep.equal(['e1', 'e2']);
  });

  it('is an ordinary resource and does not modify others', () => {
    const { resources, evacuatedZones } = snapshotOf('z1');
    expect([...evacuatedZones]).to.deep.equal(['z1']);
    expect(resources.has('evacuation/z1')).to.equal(true);
    expect(resources.get('endpoint/e1')).to.not.have.property('isEvacuated');
  });

  it('reuses endpoint lists that did not change', () => {
    const base = buildSnapshot(NO_SNAPSHOT_VERSION, parse(echoService()));
    const endpoints = parse(ENDPOINTS) as Endpoint[];
    const evacuatedZones = new Set(['z1']);
    const first = withEndpoints(base, { endpoints, evacuatedZones });
    const second = withEndpoints(base, { endpoints, evacuatedZones }, first);
    expect(second.endpointsByService.get('echo')).to.equal(first.endpointsByService.get('echo'));
    const third = withEndpoints(base, { endpoints, evacuatedZones: new Set() }, second);
    expect(namesInService(third)).to.deep.equal(['e1', 'e2']);
  });

  it('selects no trial endpoint for a suspected request in the zone', () => {
    const endpoints = snapshotOf('z1').endpointsByService.get('echo') ?? [];
    for (const fingerprint of ['a', 'b', 'c', 'd', 'e']) {
      const names = trialEndpoints(endpoints, fingerprint, new Set()).map(({ name }) => name);
      expect(names).to.deep.equal(['e2']);
    }
  });

  it('accepts no fields in its spec', () => {
    expect(
      resourceSchema.safeParse({ kind: 'evacuation', name: 'z1', spec: { until: 1 } }).success,
    ).to.equal(false);
  });
});
