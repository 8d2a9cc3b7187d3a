/** Orders to the endpoint's engine, from its owner only. */
export {OrderDesk, orderStream, takeoverMilliseconds, type OrderContent, type OrderDeskSettings, type OrderOutcome} from './order-desk.js';
export {ModelKeeper, type ModelKeeperOptions} from './model-keeper.js';
