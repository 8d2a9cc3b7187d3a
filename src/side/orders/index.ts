/** Orders to the endpoint's engine, sent only by the side that owns the endpoint. */
export {OrderSender, orderStream, takeoverMilliseconds, type OrderContent, type OrderSenderSettings, type OrderOutcome} from './order-sender.js';
export {ModelReconciler, type ModelReconcilerOptions} from './model-reconciler.js';
