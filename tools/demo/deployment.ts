/** The two users' deployments, at their sizes of today. */

/** One service and the number of its back ends. */
export interface ServicePlan {
  readonly name: string;
  readonly backends: number;
}

/** What one user runs: one region, some zones, some services. */
export interface Deployment {
  readonly name: string;
  readonly title: string;
  readonly region: string;
  readonly zones: readonly string[];
  readonly services: readonly ServicePlan[];
  /** Requests that each back end runs at once. */
  readonly slots: number;
  /** Connections that each back end accepts. */
  readonly maxConnections: number;
}

export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'solano',
    title: 'Solano Vargas',
    region: 'cartago',
    zones: ['zone-a', 'zone-b', 'zone-c', 'zone-d'],
    services: [
      { name: 'tiles', backends: 4 },
      { name: 'extracts', backends: 4 },
      { name: 'parcels', backends: 4 },
    ],
    slots: 20,
    maxConnections: 130,
  },
  {
    name: 'parkhaven',
    title: 'Parkhaven',
    region: 'airports',
    zones: ['zone-a', 'zone-b', 'zone-c'],
    services: [
      { name: 'bookings', backends: 4 },
      { name: 'payments', backends: 3 },
      { name: 'yard', backends: 3 },
    ],
    slots: 10,
    maxConnections: 120,
  },
];
