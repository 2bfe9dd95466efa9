package beaconturn.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class MainTest {
    @Test
    void wrongUsageExitsWithTwo() {
        assertEquals(2, Main.run());
        assertEquals(2, Main.run("other"));
        assertEquals(2, Main.run("simhost", "extra"));
        assertEquals(2, Main.run("serve", "--unknown"));
    }

    @Test
    void versionSucceeds() {
        assertEquals(0, Main.run("version"));
    }

    @Test
    void aConfigurationThatIsNotThereExitsWithOne() {
        assertEquals(1, Main.run("check-config", "--config", "no/such/file.json"));
        assertEquals(1, Main.run("serve", "--config", "no/such/file.json"));
    }
}
