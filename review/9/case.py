"""A machine that follows a restarted one never learns that an engine has left."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "6", "stand-ins"))
from fleet import Engine, Fleet, finish, has_trouble, main, now, send

DAEMONS = 7
CUT_S = 5.5
CONTACT_S = 3.0
DRAIN_S = 2.0


def run(folder):
    with Fleet(folder, DAEMONS) as fleet:
        record = fleet.record
        zones = ["hkd-a", "hkd-b", "hkd-c"]
        desks = [Engine(record, fleet.store, f"i-desk-{i + 1}", "desk", zones[i], slots=6) for i in range(3)]
        Engine(record, fleet.store, "i-llm-1", "llm", zones[0])
        # Not one of the seeds.
        cut_off = fleet.daemons[-1]
        cut_off.store_port = fleet.store.second_port
        fleet.start()
        fleet.wait_ready()
        time.sleep(8)

        if has_trouble():
            record.write(f"{cut_off.name} is partitioned from the store")
            fleet.store.set_second_cut(True)
        began = time.monotonic()
        others = fleet.daemons[:-1]
        time.sleep(0.3)
        if has_trouble():
            for daemon in others:
                daemon.signal(signal.SIGKILL)
            for daemon in others:
                daemon.process.wait()
        time.sleep(0.7)
        # The engine leaves. It never reports that it drains: its entry is removed, and it goes on.
        leaving = desks[0]
        fleet.store.delete("servers/" + leaving.name)
        left_at = now()
        record.write(f"{leaving.name} leaves: its entry is removed, confirmed by the store")
        time.sleep(0.5)
        if has_trouble():
            for daemon in others:
                daemon.start()
        fleet.wait_ready()
        time.sleep(max(0.0, CUT_S - (time.monotonic() - began)))
        if has_trouble():
            fleet.store.set_second_cut(False)
            record.write(f"{cut_off.name} reaches the store again")
        time.sleep(CONTACT_S + 0.5)
        in_touch_at = now()

        threads = []

        def send_one(number):
            if number % 3:
                send(record, cut_off.callers, "POST", f"/book/{number}", body=b"b" * 600)
            else:
                send(record, cut_off.callers, "GET", f"/read/{number}")

        for number in range(80):
            thread = threading.Thread(target=send_one, args=(number,))
            thread.start()
            threads.append(thread)
            time.sleep(0.05)
        for thread in threads:
            thread.join()

        late = [it for it in leaving.arrivals if it[0] > max(in_touch_at, left_at + DRAIN_S)]
        for at, attempt, path, _ in late:
            record.write(f"{path} {attempt} reached {leaving.name} {at - left_at:.3f} s after it had left")
        text = (
            f"{len(late)} of 80 requests reached an engine up to "
            f"{max([it[0] - left_at for it in late], default=0):.1f} s after the store had confirmed "
            f"that it left (bound {DRAIN_S} s), from a machine in touch"
        )
        return finish(record, bool(late), text)


main(run)
