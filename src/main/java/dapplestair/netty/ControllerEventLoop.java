package dapplestair.netty;

import dapplestair.ports.BackgroundExecutor;
import dapplestair.ports.Cancellable;
import dapplestair.ports.Clock;
import dapplestair.ports.Timers;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The event loop: the single thread that owns all state, with its clock, its timers and a
 * background thread for long computations.
 */
public final class ControllerEventLoop implements Clock, Timers, BackgroundExecutor, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerEventLoop.class);

  private final NioEventLoopGroup group =
      new NioEventLoopGroup(1, new DefaultThreadFactory("loop", true));
  private final ThreadPoolExecutor backgroundThread =
      new ThreadPoolExecutor(
          0,
          1,
          30,
          TimeUnit.SECONDS,
          new ArrayBlockingQueue<>(4),
          new DefaultThreadFactory("planning", true));
  private final long startNanos = System.nanoTime();

  NioEventLoopGroup group() {
    return group;
  }

  /** Returns the executor that runs tasks on the event loop. */
  public Executor executor() {
    return eventLoop();
  }

  EventLoop eventLoop() {
    return group.next();
  }

  @Override
  public long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  @Override
  public long wall() {
    return System.currentTimeMillis();
  }

  @Override
  public Cancellable after(long delayMs, Runnable task) {
    Future<?> future =
        eventLoop().schedule(guarded(task), Math.max(0, delayMs), TimeUnit.MILLISECONDS);
    return () -> future.cancel(false);
  }

  @Override
  public <R> void compute(Supplier<R> work, Consumer<R> done) {
    backgroundThread.execute(
        guarded(
            () -> {
              R result = work.get();
              eventLoop().execute(guarded(() -> done.accept(result)));
            }));
  }

  /**
   * Wraps a task so that an exception is logged and neither ends the event loop nor silently stops
   * the repetition of the task.
   */
  static Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error(
            "uncaught exception in a task of the event loop or background thread; continuing", e);
      }
    };
  }

  @Override
  public void close() {
    backgroundThread.shutdownNow();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }
}
