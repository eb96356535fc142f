import { expect } from 'chai';
import { machineListSchema } from '../../src/model/machine.js';
import { parseSourceDocument } from '../../src/model/source-document.js';
import { parseSettings } from '../../src/settings/load-settings.js';
import { RECOVERY_READERS } from '../../src/source/lease-terms.js';
import { DEPLOYMENTS } from '../../tools/demo/deployment.js';
import {
  machineList,
  nodeSettings,
  planFleet,
  sourceDocument,
} from '../../tools/demo/fleet-plan.js';

const SIZES: Record<string, { nodes: number; endpoints: number; readers: number }> = {
  solano: { nodes: 16, endpoints: 12, readers: 5 },
  parkhaven: { nodes: 13, endpoints: 10, readers: 4 },
};

describe('fleet plan', () => {
  for (const deployment of DEPLOYMENTS) {
    const plan = planFleet(deployment, '127.9.1', '0123456789abcdef');
    const ports = new Map(plan.machines.map(({ machine }) => [machine.id, 9_000]));
    const size = SIZES[deployment.name];

    it(`${deployment.name}: has the size of the deployment`, () => {
      const { resources } = parseSourceDocument(sourceDocument(plan, 1, ports, 0));
      const endpoints = resources.filter((resource) => resource.kind === 'endpoint').length;
      const { readerBound } = plan;
      expect({ nodes: plan.machines.length, endpoints, readers: readerBound }).to.deep.equal(size);
    });

    it(`${deployment.name}: gives every node settings that it accepts`, () => {
      for (const machine of plan.machines) {
        const settings = parseSettings('plan', nodeSettings(plan, machine, 9_000));
        const shares = Object.values(settings.readerShares).reduce((sum, share) => sum + share, 0);
        expect(shares + RECOVERY_READERS).to.equal(plan.readerBound);
      }
    });

    it(`${deployment.name}: gives every machine an address of its own`, () => {
      const { machines } = machineListSchema.parse(machineList(plan, 1));
      expect(new Set(machines.map((machine) => machine.address)).size).to.equal(size?.nodes);
    });

    it(`${deployment.name}: takes changes that are valid`, () => {
      const { resources } = parseSourceDocument(sourceDocument(plan, 2, ports, 5));
      const before = sourceDocument(plan, 1, ports, 0).resources.length;
      expect(resources.length).to.equal(before + 5);
    });
  }
});
