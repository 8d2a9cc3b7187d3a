/** Orders to the endpoint's engine, from its owner only. */
export {OrderSender, orderStream, takeoverMilliseconds, type OrderContent, type OrderSenderSettings, type OrderOutcome} from './order-sender.js';
export {ModelReconciler, type ModelReconcilerOptions} from './model-reconciler.js';
