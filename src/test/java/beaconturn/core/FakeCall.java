package beaconturn.core;

import beaconturn.protocol.Slice;
import java.util.ArrayList;
import java.util.List;

/** A client's call that keeps the answers it gets. */
final class FakeCall implements Call {
    private final long deadline;
    final List<String> answers = new ArrayList<>();

    FakeCall(long deadline) {
        this.deadline = deadline;
    }

    @Override
    public Ask ask() {
        return new Ask(0, 1, false, false, 0, 0, 0);
    }

    @Override
    public long deadline() {
        return deadline;
    }

    @Override
    public List<Slice> forwarded(long waitMillis) {
        return List.of();
    }

    @Override
    public void served(Slice answer) {
        answers.add("served " + answer);
    }

    @Override
    public void refused(long retryAfter) {
        answers.add("refused " + retryAfter / 1_000_000);
    }

    @Override
    public void failed() {
        answers.add("failed");
    }
}
