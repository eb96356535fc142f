/** Examples of what the platform writes. */

/** A settings file. */
export const SETTINGS_TEXT = `self.nodeName=sidecar-cr-central-a-1
self.ip=10.1.0.8
self.zone=cr-central-a
self.region=cr-central
self.appAddr=10.1.0.8:8301
self.service=huvo11a
network.listenAddrs.inbound=10.1.0.8:8300
network.listenAddrs.outbound=10.1.0.8:8304
network.listenAddrs.ready=10.1.0.8:8302
network.internalPortRange=7620,7635
network.seeds=
network.zones.cr-central-a=cr-central
network.zones.cr-central-b=cr-central
platform.platform.address=10.200.1.7:8309
terms.bounds.graceS=6
terms.bounds.retryBudgetRatio=0.2
terms.bounds.budgetMinRetries=62
terms.bounds.budgetWindowS=10`;

/** A configuration of two services; \`safe\` requests of host h1 are divided, h2 takes unsafe ones. */
export function platformConfiguration(version: string): unknown {
  return {
    version,
    services: [{ name: 'a' }, { name: 'b' }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutS: 3, idleTimeoutS: 15 },
    virtualHosts: [
      {
        hostname: 'h1.example',
        paths: [
          {
            name: 'r1',
            pathPrefix: '/p/',
            kind: 'safe',
            timeoutS: 1.2,
            targetLatencyS: 0.3,
            priority: 2,
            weightedTargets: [
              { service: 'a', weight: 90 },
              { service: 'b', weight: 10 },
            ],
            maxAttempts: 2,
          },
        ],
      },
      {
        hostname: 'h2.example',
        paths: [
          {
            name: 'r2',
            pathPrefix: '/q/',
            kind: 'unsafe',
            timeoutS: 0.8,
            service: 'b',
            maxAttempts: 2,
          },
        ],
      },
    ],
  };
}
