/** Stand-ins for the systems around the product, for development and tests. Product code never imports them. */
export * from './engine/index.js';
export {FakeLog, type LogFaults} from './log.js';
export {FakeMembers, type MembersFaults} from './members.js';
export {FakePath, type PathFaults} from './network-path.js';
export {FakeService, type ServiceFaults} from './service.js';
export {FakeWeights, type WeightsFaults} from './weights.js';
