package beaconturn;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class MainTest {
    @Test
    void wrongUsageExitsWithTwo() {
        assertEquals(2, Main.run(new String[0]));
        assertEquals(2, Main.run(new String[] {"other"}));
        assertEquals(2, Main.run(new String[] {"simhost", "extra"}));
    }
}
